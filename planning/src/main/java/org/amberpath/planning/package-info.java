/**
 * Quotas: a leader grants each gateway a share of limits that apply to all gateways together, such
 * that the sum of what they may use never exceeds a limit, even if messages are lost or late and
 * gateways restart.
 *
 * <p>Pure code: every method takes the time as an argument, in nanoseconds of the process's own
 * monotonic clock, and does no I/O. Only the models of the lab call it yet (issue 17); no type here
 * is thread-safe.
 *
 * <p>Begin with {@link org.amberpath.planning.QuotaHolder}, a gateway's side, and {@link
 * org.amberpath.planning.QuotaLedger}, the leader's. Who leads is decided by {@link
 * org.amberpath.leadership.RegistryLeadership}. Reasons and invariants: docs/design/planners.md.
 */
package org.amberpath.planning;
