/**
 * Admission of requests while all gateways of a fleet start at once after a power loss.
 *
 * <p>Pure code: every method takes the time as an argument and does no I/O; no type here is
 * thread-safe. Only the models of the lab call it yet (issue 25). Begin with {@link
 * org.amberpath.recovery.RecoveryRamp}. Reasons: docs/design/power-loss.md.
 */
package org.amberpath.recovery;
