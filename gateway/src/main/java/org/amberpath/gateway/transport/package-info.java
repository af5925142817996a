/**
 * What the gateway adds to Netty and Vert.x below its connections: one event loop that accepts and
 * serves ({@link org.amberpath.gateway.transport.SingleEventLoopTransport}, where to begin), the
 * bound on accepted connections ({@link org.amberpath.gateway.transport.AcceptLimit}) that keeps
 * the descriptors, the system calls that tests let fail, and operations on channels whose end
 * nobody waits for ({@link org.amberpath.gateway.transport.Channels}).
 *
 * <p>Used by the gateway's lifecycle and by the connections of clients and caches, on the event
 * loop.
 */
package org.amberpath.gateway.transport;
