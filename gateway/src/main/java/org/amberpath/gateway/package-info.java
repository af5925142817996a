/**
 * The lifecycle and the settings of a gateway process. Start reading at {@link
 * org.amberpath.gateway.Gateway}, which starts, reloads and stops. {@link
 * org.amberpath.gateway.Server} runs it as a process, {@link org.amberpath.gateway.GatewayOptions}
 * holds its settings, and {@link org.amberpath.gateway.ShutdownSchedule} sets the times of the
 * steps of a shutdown.
 *
 * <p>{@code org.amberpath.gateway.pipeline} processes requests, over connections of {@code .client}
 * and {@code .cache} on the sockets of {@code .transport}. {@code .discovery} polls the journal for
 * endpoints and purges. {@code org.amberpath.routing} makes every routing decision. This package
 * depends on those; {@code .pipeline} refers back to it only in the documentation of its callbacks.
 *
 * <p>Threads: all types here are confined to the gateway's event loop, unless a member says
 * otherwise. Times are nanoseconds of {@link org.amberpath.gateway.discovery.Clock#nowNanos()},
 * unless a name says otherwise.
 */
package org.amberpath.gateway;
