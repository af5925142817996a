/**
 * The I/O of the registry client: HTTP requests to the endpoints, the codecs of two protocols, the
 * snapshot file, and the client for operators and tasks.
 *
 * <p>A gateway creates a {@link org.amberpath.registry.runtime.RegistrySource} and calls it on its
 * event loop, where everything runs except reading and writing files. The command line and the
 * leadership module create a {@link org.amberpath.registry.runtime.RegistryAdminClient} and call it
 * from any thread.
 *
 * <p>Begin with {@code RegistrySource}. {@code WatchCommandExecutor} sends the session's requests;
 * {@code EtcdProtocol} and {@code ConsulProtocol} implement {@code RegistryProtocol}; {@code
 * LeaseClient} grants and renews leases; {@code SnapshotFile} is the only file that a gateway
 * writes.
 */
package org.amberpath.registry.runtime;
