/**
 * A gateway process: its lifecycle and its options. Begin with {@link
 * org.amberpath.gateway.Gateway}, which starts, reloads and stops; {@link
 * org.amberpath.gateway.Server} makes a process of it, {@link org.amberpath.gateway.GatewayOptions}
 * are its settings, and {@link org.amberpath.gateway.ShutdownSchedule} says when each step of a
 * shutdown is taken.
 *
 * <p>Requests are carried by {@code org.amberpath.gateway.pipeline}, over connections of {@code
 * .client} and {@code .cache} on the sockets of {@code .transport}; {@code .discovery} hears of
 * endpoints, and every decision is made by {@code org.amberpath.routing}. Dependencies run from
 * this package to those, and never back.
 *
 * <p>Threads: all types here are confined to the gateway's one event loop, unless a member says
 * otherwise. Times are nanoseconds of {@link org.amberpath.gateway.discovery.Clock#nowNanos()},
 * unless a name says otherwise.
 */
package org.amberpath.gateway;
