/**
 * MessagePack-RPC with clients. {@link org.amberpath.gateway.client.ClientConnection} is one
 * connection and where to begin; {@link org.amberpath.gateway.client.ClientConnections} bounds them
 * all, and {@link org.amberpath.gateway.client.ClientHandler} is what the pipeline implements.
 * Framing and decoding know nothing of sockets. Called by the pipeline, on the event loop.
 */
package org.amberpath.gateway.client;
