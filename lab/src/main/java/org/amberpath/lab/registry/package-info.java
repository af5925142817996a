/**
 * Simulations and experiments for the registry client: a stand-in registry on sockets that speaks
 * etcd's and Consul's protocols ({@link org.amberpath.lab.registry.StandInRegistry}), a simulated
 * registry on a virtual clock ({@code VirtualRegistry}) with the simulation that uses it ({@code
 * RegistryModel}), and an experiment that injects faults into the registry of a real gateway
 * ({@link org.amberpath.lab.registry.RegistryExperiment}).
 *
 * <p>Used by the commands {@code lab registry}, {@code registry-model}, {@code registry-size} and
 * {@code standin}, and by tests. The stand-in belongs to one event loop; a simulation runs on one
 * thread. Start reading with {@code RegistryModel}.
 */
package org.amberpath.lab.registry;
