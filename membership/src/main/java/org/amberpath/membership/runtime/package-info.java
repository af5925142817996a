/**
 * The runtime of membership: the socket, signed datagrams, keys, timers, log lines and the HTTP
 * admin endpoint around {@link org.amberpath.membership.SwimProtocol}.
 *
 * <p>The gateway calls this package through {@link org.amberpath.gateway.FleetCoordinator}. The
 * leadership module implements {@link org.amberpath.membership.runtime.FleetMessageHandler} to
 * exchange messages with other members. The package runs on the gateway's event loop, except that
 * the key file is read on a worker thread.
 *
 * <p>The entry point is {@link org.amberpath.membership.runtime.MembershipService}; {@link
 * org.amberpath.membership.runtime.DatagramCodec} defines the datagram format.
 */
package org.amberpath.membership.runtime;
