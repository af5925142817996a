/**
 * The MessagePack-RPC server for clients. {@link org.amberpath.gateway.client.ClientConnection},
 * the entry point, is one connection; {@link org.amberpath.gateway.client.ClientConnections} bounds
 * the number of connections; the pipeline implements {@link
 * org.amberpath.gateway.client.ClientHandler}. Framing and decoding do not depend on sockets.
 * Everything runs on the event loop.
 */
package org.amberpath.gateway.client;
