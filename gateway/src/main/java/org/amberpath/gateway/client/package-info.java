/**
 * MessagePack-RPC to clients: framing, decoding of requests, encoding of responses, and the
 * lifecycle of a connection. Nothing here decides on a request; {@link
 * org.amberpath.gateway.client.ClientHandler} does. All of it runs on the event loop of its
 * connection.
 */
package org.amberpath.gateway.client;
