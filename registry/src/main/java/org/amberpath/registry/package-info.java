/**
 * The I/O-free core of a client that watches a key-value registry, such as etcd or Consul, for the
 * endpoints, drains and purges of a gateway. Callers pass in the received responses and the current
 * time; the classes answer with the requests to send.
 *
 * <p>{@link org.amberpath.registry.runtime} calls this package on the gateway's event loop, and the
 * lab's models call it on a virtual clock. No type here is thread-safe. Times are nanoseconds of a
 * monotonic clock, unless a name ends in millis: those are Unix times.
 *
 * <p>Begin with {@link org.amberpath.registry.WatchSession}, which decides what to request from
 * which endpoint (watches, heartbeats, paged lists, the resync after a gap or a compaction), and
 * {@link org.amberpath.registry.RegistryView}, which holds the keys and publishes their changes.
 * docs/design/registry.md has the reasons.
 */
package org.amberpath.registry;
