package org.amberpath.gateway.client;

/** Handles what clients send; called on the event loop of the connection. */
public interface ClientHandler {
  /**
   * Whether one more request is admitted now. One that is not is rejected before its fields are
   * decoded.
   */
  boolean admitsRequest();

  /** The Retry-After of a request that is rejected so, in nanoseconds; 0 for none. */
  long retryAfterNanos();

  /**
   * A request was decoded. Its message id is in flight until it is answered or cancelled.
   *
   * @param connection the connection that it arrived on
   * @param messageId the client's message id, unique among those in flight on the connection
   */
  void requestReceived(ClientConnection connection, long messageId, DecodedRequest request);

  /** The client cancelled a request that was in flight; it must not be answered. */
  void requestCancelled(ClientConnection connection, long messageId);

  /** Whether the gateway is ready for requests, as its status says. */
  boolean isReady();

  /**
   * The client violated the protocol. Requests that are in flight may only end with an error.
   *
   * @param reason what was wrong, for the log
   */
  void protocolViolated(ClientConnection connection, String reason);

  /**
   * The connection reads and writes nothing more; all that was in flight on it is dropped. Its
   * descriptor may still be open.
   */
  void connectionEnded(ClientConnection connection);

  /** The descriptor of an ended connection is closed. */
  void descriptorReleased(ClientConnection connection);
}
