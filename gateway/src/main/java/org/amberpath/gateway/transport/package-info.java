/**
 * What the gateway adds to Netty and Vert.x between the system's sockets and its own connections.
 * {@link org.amberpath.gateway.transport.Channels} has the operations on a channel whose end nobody
 * waits for. Called on the event loop of the channel, by the packages of clients and caches.
 */
package org.amberpath.gateway.transport;
