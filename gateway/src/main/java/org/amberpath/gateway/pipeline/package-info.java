/**
 * The pipeline that carries a client's request from its last byte to its final response. Begin with
 * {@link org.amberpath.gateway.pipeline.RequestPipeline}, which connects the stages and is what the
 * gateway's lifecycle calls.
 *
 * <p>The stages are {@link org.amberpath.gateway.pipeline.RequestReceiver}, {@link
 * org.amberpath.gateway.pipeline.AdmissionControl}, {@link
 * org.amberpath.gateway.pipeline.RoutingStage}, {@link
 * org.amberpath.gateway.pipeline.AttemptSender} and {@link
 * org.amberpath.gateway.pipeline.ResponseWriter}; {@link
 * org.amberpath.gateway.pipeline.InFlightRequests} holds each request until it is finished. Every
 * routing decision is made by {@code org.amberpath.routing}; this package does the I/O.
 *
 * <p>Threads: all types here are confined to the gateway's one event loop. Times are nanoseconds of
 * {@link org.amberpath.gateway.discovery.Clock#nowNanos()}, unless a name says otherwise.
 */
package org.amberpath.gateway.pipeline;
