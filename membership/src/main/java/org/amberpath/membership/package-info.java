/**
 * Membership of a fleet of gateways by SWIM with Lifeguard's extensions: failure detection by
 * direct and indirect probes, suspicion that the suspected member can refute by a higher
 * incarnation, gossip, and anti-entropy for what gossip missed.
 *
 * <p>Pure: told messages and the time, no I/O, no clock, no threads. Called by {@code
 * org.amberpath.membership.runtime} on the gateway's event loop, and by models and tests on a
 * virtual clock.
 *
 * <p>Begin reading at {@link org.amberpath.membership.SwimProtocol}; {@link
 * org.amberpath.membership.ReplayFilter} stands before it. docs/design/fleet-view.md has the design
 * and the proof about shares.
 */
package org.amberpath.membership;
