/**
 * The half of the registry with I/O: HTTP to the endpoints, the codecs of two protocols, the
 * snapshot file, and the client of operators and tasks.
 *
 * <p>A gateway makes a {@link org.amberpath.registry.runtime.RegistrySource} and calls it on its
 * event loop, where everything runs but the reading and writing of files. The command line and the
 * leadership module make a {@link org.amberpath.registry.runtime.RegistryAdminClient} and call it
 * from any thread.
 *
 * <p>Begin with {@code RegistrySource}; {@code WatchCommandExecutor} sends what the session
 * commands, {@code RegistryProtocol} is encoded and decoded by {@code EtcdProtocol} and {@code
 * ConsulProtocol}; {@code LeaseClient} has grants and lease renewal; {@code SnapshotFile} is the
 * one file that a gateway writes.
 */
package org.amberpath.registry.runtime;
