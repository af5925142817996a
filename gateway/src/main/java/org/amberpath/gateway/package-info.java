/**
 * A gateway process: its lifecycle ({@link org.amberpath.gateway.Gateway}) and the pipeline that
 * carries a client's request from its last byte to its final response.
 *
 * <p>The pipeline is {@link org.amberpath.gateway.RequestReceiver}, {@link
 * org.amberpath.gateway.AdmissionControl}, {@link org.amberpath.gateway.RoutingStage}, {@link
 * org.amberpath.gateway.AttemptSender} and {@link org.amberpath.gateway.ResponseWriter}; {@link
 * org.amberpath.gateway.InFlightRequests} holds each request until it is finished. Every routing
 * decision is made by {@code org.amberpath.routing}; this package does the I/O.
 *
 * <p>Threads: all types here are confined to the gateway's one event loop, unless a member says
 * otherwise. Times are nanoseconds of {@link org.amberpath.gateway.Clock#nowNanos()}, unless a name
 * says otherwise.
 */
package org.amberpath.gateway;
