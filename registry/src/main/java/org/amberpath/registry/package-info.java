/**
 * Endpoints, drains and purges from a key-value registry such as etcd or Consul: the half without
 * I/O. It is told what was received and what time it is, and answers with what to request.
 *
 * <p>Called by {@link org.amberpath.registry.runtime} on the gateway's event loop, and by the
 * models of the lab on a virtual clock; no type here is safe for use by several threads. Times are
 * nanoseconds of a clock that only goes forward, unless a name ends in millis, which are Unix
 * times.
 *
 * <p>Begin with {@link org.amberpath.registry.WatchSession}, which decides what is requested of
 * which endpoint (watches, heartbeats, paged lists, the watch resync after a gap or a compaction),
 * and {@link org.amberpath.registry.RegistryView}, which keeps the keys and publishes what changes.
 * docs/design/registry.md has the reasons.
 */
package org.amberpath.registry;
