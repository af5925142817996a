/**
 * The runtime part of membership: sockets, signed datagrams, keys, timers, log and the operators'
 * HTTP endpoint around {@link org.amberpath.membership.SwimProtocol}.
 *
 * <p>Called by the gateway through {@link org.amberpath.gateway.FleetCoordinator}, and by modules
 * above (leadership) through {@link org.amberpath.membership.runtime.FleetMessageHandler}. All of
 * it runs on the gateway's event loop; only the key file is read off it.
 *
 * <p>Begin reading at {@link org.amberpath.membership.runtime.MembershipService}, then {@link
 * org.amberpath.membership.runtime.DatagramCodec}.
 */
package org.amberpath.membership.runtime;
