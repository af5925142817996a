/**
 * The gateway's extensions of the Netty and Vert.x transports. The entry point is {@link
 * org.amberpath.gateway.transport.SingleEventLoopTransport}, with which one event loop both accepts
 * and serves connections. {@link org.amberpath.gateway.transport.AcceptLimit} bounds the accepted
 * connections and so the descriptors, {@link org.amberpath.gateway.transport.SystemCalls} can be
 * replaced by tests, {@link org.amberpath.gateway.transport.Channels} has operations whose futures
 * are not awaited, and {@link org.amberpath.gateway.transport.ReceivedText} quotes received bytes
 * for the log.
 *
 * <p>Used by the gateway's lifecycle and by the connections to clients and caches, on the event
 * loop.
 */
package org.amberpath.gateway.transport;
