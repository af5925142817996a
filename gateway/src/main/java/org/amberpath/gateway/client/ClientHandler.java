package org.amberpath.gateway.client;

/** Receives the requests and the events of client connections, on the event loop of each. */
public interface ClientHandler {
  /**
   * Returns whether one more request is admitted now. The connection rejects a request that is not
   * admitted as overloaded, without decoding its fields.
   */
  boolean admitsRequest();

  /** Returns the Retry-After for requests that are not admitted, in nanoseconds; 0 for none. */
  long retryAfterNanos();

  /**
   * Called with each decoded and admitted request. The message id is in flight until the request is
   * answered or cancelled.
   *
   * @param connection the connection on which the request was received
   * @param messageId the client's message id, unique among those in flight on the connection
   */
  void requestReceived(ClientConnection connection, long messageId, DecodedRequest request);

  /**
   * Called when a bound on memory costs a client a request, which the connection rejects or fails.
   *
   * @param reason the bound that was reached, for the log
   */
  void requestShed(ClientConnection connection, String reason);

  /** Called when the client cancels a request in flight, which must then not be answered. */
  void requestCancelled(ClientConnection connection, long messageId);

  /** Returns whether the gateway is ready for requests, as reported to status requests. */
  boolean isReady();

  /**
   * Called when the client violated the protocol. Its requests in flight may only be answered with
   * an error from now on.
   *
   * @param reason the violation, for the log
   */
  void protocolViolated(ClientConnection connection, String reason);

  /**
   * Called once, when the connection stops reading and accepts no further responses; the requests
   * in flight on it are dropped. Its descriptor may still be open.
   */
  void connectionEnded(ClientConnection connection);

  /** Called after {@link #connectionEnded}, when the socket is closed. */
  void descriptorReleased(ClientConnection connection);
}
