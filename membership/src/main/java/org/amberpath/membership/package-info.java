/**
 * Membership of a fleet of gateways by SWIM with Lifeguard's extensions: failure detection by
 * direct and indirect probes, suspicion that the suspected member can refute by a higher
 * incarnation, gossip, and anti-entropy for updates that gossip did not deliver.
 *
 * <p>The package performs no I/O, reads no clock and starts no threads: callers pass in messages
 * and the current time. It is called by {@code org.amberpath.membership.runtime} on the gateway's
 * event loop, and by models and tests on a virtual clock.
 *
 * <p>The entry point is {@link org.amberpath.membership.SwimProtocol}; {@link
 * org.amberpath.membership.ReplayFilter} filters the datagrams before they reach it.
 * docs/design/fleet-view.md has the design and the proof about quota shares.
 */
package org.amberpath.membership;
