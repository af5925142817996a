package org.amberpath.gateway.client;

import java.io.IOException;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks the requests of one connection from decoding to response: which message ids are in flight,
 * and which requests are admitted. Does not use the socket itself. Confined to the connection's
 * event loop.
 */
final class RequestSession {
  private static final int MAX_IN_FLIGHT = 32;
  private static final long MAX_MESSAGE_ID = 0xffff_ffffL;
  private static final String STATUS_METHOD = "status";
  private static final String PARTIAL_REQUEST_SHED =
      "request: only a part received and partial requests exceed their memory";
  private static final String PROTOCOL_VIOLATED = "the protocol was violated on this connection";

  /** Which requests are passed to the admission check of the handler; all others are rejected. */
  private enum Admission {
    /** All requests. */
    ALL,
    /** Only the one that had been partially received when {@link #rejectNewRequests} was called. */
    PARTIAL_MESSAGE,
    /** No request. */
    NONE
  }

  private final ClientConnection connection;
  private final ClientHandler handler;
  private final Set<Long> inFlight = new HashSet<>();
  private Admission admission = Admission.ALL;
  private boolean messageReceived;
  private boolean requestReceived;

  /** Whether the client has violated the protocol, so that each further request gets an error. */
  private boolean protocolViolated;

  /** The message id of the request whose bytes are being discarded; empty for none. */
  private OptionalLong discardedId = OptionalLong.empty();

  /** Creates the session of a new connection, with no request in flight. */
  RequestSession(ClientConnection connection, ClientHandler handler) {
    this.connection = connection;
    this.handler = handler;
  }

  /** Returns whether a complete message without protocol error has been received. */
  boolean hasReceivedMessage() {
    return messageReceived;
  }

  /** Returns whether a request other than for status was received, and no invalid one since. */
  boolean hasReceivedRequest() {
    return requestReceived;
  }

  /** Returns whether no request is in flight. */
  boolean isIdle() {
    return inFlight.isEmpty();
  }

  /** Forgets all requests in flight, because the connection sends no more responses. */
  void dropAll() {
    inFlight.clear();
  }

  /** Makes each further request fail with an error, because the client violated the protocol. */
  void markViolated() {
    protocolViolated = true;
  }

  /**
   * Rejects each further request as overloaded.
   *
   * @param partialMessage whether a message has been received in part, which is still admitted
   */
  void rejectNewRequests(boolean partialMessage) {
    admission = partialMessage ? Admission.PARTIAL_MESSAGE : Admission.NONE;
  }

  /**
   * Handles one complete message.
   *
   * @throws IOException if the message violates the protocol, so that the rest of the stream is
   *     unusable
   */
  void handle(byte[] bytes, int start, int end) throws IOException {
    try (RequestDecoder decoder = new RequestDecoder(bytes, start, end)) {
      if (decoder.readKind() == RequestDecoder.Kind.REQUEST) {
        handleRequest(decoder);
      } else {
        handleNotification(decoder);
      }
    }
    markMessageReceived();
  }

  private void markMessageReceived() {
    messageReceived = true;
    if (admission == Admission.PARTIAL_MESSAGE) {
      admission = Admission.NONE;
    }
  }

  /**
   * Notes the message id of a partially received request, of which the rest is going to be
   * discarded.
   *
   * @param bytes the beginning of the message
   * @param end offset after the last byte that was received
   * @throws IOException if the beginning violates the protocol
   */
  void startDiscarding(byte[] bytes, int end) throws IOException {
    try (RequestDecoder decoder = new RequestDecoder(bytes, 0, end)) {
      discardedId =
          decoder.readKind() == RequestDecoder.Kind.REQUEST
              ? OptionalLong.of(decoder.readMessageId())
              : OptionalLong.empty();
    }
    handler.requestShed(connection, PARTIAL_REQUEST_SHED);
  }

  /**
   * Rejects the discarded request, now that its last byte was received.
   *
   * @throws ProtocolException if its message id violates the protocol
   */
  void rejectDiscarded() throws ProtocolException {
    if (discardedId.isPresent()) {
      long messageId = discardedId.getAsLong();
      addInFlight(messageId);
      if (protocolViolated) {
        connection.sendError(messageId, PROTOCOL_VIOLATED);
      } else {
        requestReceived = true;
        connection.sendOverloaded(messageId, handler.retryAfterNanos());
      }
    }
    markMessageReceived();
  }

  private void handleRequest(RequestDecoder decoder) throws IOException {
    long messageId = decoder.readMessageId();
    addInFlight(messageId);
    if (protocolViolated) {
      connection.sendError(messageId, PROTOCOL_VIOLATED);
      return;
    }
    try {
      String method = decoder.readMethod();
      if (method.equals(STATUS_METHOD)) {
        connection.sendStatus(messageId, handler.isReady());
      } else if (admission == Admission.NONE || !handler.admitsRequest()) {
        // Rejected before its fields are decoded, to save the CPU for admitted requests.
        requestReceived = true;
        connection.sendOverloaded(messageId, handler.retryAfterNanos());
      } else {
        DecodedRequest request = decoder.readRequest(method);
        requestReceived = true;
        handler.requestReceived(connection, messageId, request);
      }
    } catch (InvalidRequestException e) {
      rejectInvalidRequest(messageId, e.getMessage(), e.logText());
    }
  }

  private void addInFlight(long messageId) throws ProtocolException {
    if (messageId < 0 || messageId > MAX_MESSAGE_ID || !inFlight.add(messageId)) {
      throw new ProtocolException(
          "message id: got "
              + messageId
              + (inFlight.contains(messageId)
                  ? ", which is in flight already"
                  : ", expected 0 to " + MAX_MESSAGE_ID));
    }
    if (inFlight.size() > MAX_IN_FLIGHT) {
      connection.sendError(messageId, "more than " + MAX_IN_FLIGHT + " requests are in flight");
      throw new ProtocolException(
          "request " + messageId + ": more than " + MAX_IN_FLIGHT + " requests are in flight");
    }
  }

  private void handleNotification(RequestDecoder decoder) throws IOException {
    OptionalLong cancelled = decoder.readCancelledId();
    if (cancelled.isPresent() && inFlight.remove(cancelled.getAsLong())) {
      handler.requestCancelled(connection, cancelled.getAsLong());
    }
  }

  /** Implements {@link ClientConnection#rejectInvalidRequest}. */
  void rejectInvalidRequest(long messageId, String reason) {
    rejectInvalidRequest(messageId, reason, reason);
  }

  private void rejectInvalidRequest(long messageId, String reason, String logText) {
    connection.sendError(messageId, reason);
    protocolViolated = true;
    requestReceived = false;
    handler.protocolViolated(
        connection,
        "request " + messageId + ": " + logText + "; all further requests on this connection fail");
  }

  /** Ends a request; returns whether it was in flight, so that its response is to be sent. */
  boolean removeInFlight(long messageId) {
    return inFlight.remove(messageId);
  }
}
