/**
 * Leader election for tasks that one gateway performs for the fleet, and the decisions of those
 * tasks.
 *
 * <p>Pure code: every method takes the time as an argument, in nanoseconds of the process's own
 * monotonic clock, and does no I/O. It is called by {@code org.amberpath.leadership.runtime} on the
 * gateway's event loop, and by the models of the lab on a virtual clock; no type here is
 * thread-safe.
 *
 * <p>Begin with {@link org.amberpath.leadership.Leadership}, the interface that both kinds of
 * election implement: {@link org.amberpath.leadership.RegistryLeadership} by a lease on a key in
 * the registry, {@link org.amberpath.leadership.QuorumLeadership} by a quorum of voters ({@link
 * org.amberpath.leadership.LeaseAcceptor}) with prepare and accept rounds of one ballot. Messages
 * that a former leader still sends are rejected by fencing: {@link
 * org.amberpath.leadership.FencingGuard}. The tasks are {@link
 * org.amberpath.leadership.HealthCheckCoordinator}, {@link org.amberpath.leadership.PurgeRetention}
 * and {@link org.amberpath.leadership.CachePrefetch}. Reasons and invariants:
 * docs/design/ownership.md.
 */
package org.amberpath.leadership;
