/**
 * Admission of requests while a whole fleet starts after a power loss.
 *
 * <p>Pure code: told the time, no I/O, not thread-safe. Only the models of the lab call it yet
 * (issue 25). Begin with {@link org.amberpath.recovery.RecoveryRamp}. Reasons:
 * docs/design/power-loss.md.
 */
package org.amberpath.recovery;
