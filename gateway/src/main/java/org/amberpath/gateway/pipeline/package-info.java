/**
 * The request pipeline, which processes a client's request from its last byte to its final
 * response. Start reading at {@link org.amberpath.gateway.pipeline.RequestPipeline}, which connects
 * the stages and is called by the gateway's lifecycle.
 *
 * <p>The stages are, in this order, {@link org.amberpath.gateway.pipeline.RequestReceiver}, {@link
 * org.amberpath.gateway.pipeline.AdmissionControl}, {@link
 * org.amberpath.gateway.pipeline.RoutingStage}, {@link
 * org.amberpath.gateway.pipeline.AttemptSender} and {@link
 * org.amberpath.gateway.pipeline.ResponseWriter}; {@link
 * org.amberpath.gateway.pipeline.InFlightRequests} holds each request until it is finished. {@code
 * org.amberpath.routing} makes every routing decision; this package does the I/O.
 *
 * <p>Threads: all types here are confined to the gateway's event loop. Times are nanoseconds of
 * {@link org.amberpath.gateway.discovery.Clock#nowNanos()}, unless a name says otherwise.
 */
package org.amberpath.gateway.pipeline;
