/**
 * Registries tried: a stand-in on sockets that speaks etcd's and Consul's protocols ({@link
 * org.amberpath.lab.registry.StandInRegistry}), one on a virtual clock ({@code VirtualRegistry}),
 * the model on it, and a real gateway whose registry fails ({@link
 * org.amberpath.lab.registry.RegistryExperiment}).
 *
 * <p>Called by {@code lab registry}, {@code registry-model}, {@code registry-size} and {@code
 * standin}, and by tests. The stand-in belongs to one event loop; a model runs on one thread. Begin
 * with {@code RegistryModel}.
 */
package org.amberpath.lab.registry;
