package org.amberpath.gateway.client;

/** The states of a client's connection. Transitions only go forward and may skip states. */
enum ClientConnectionState {
  /** Requests are read and answered. The initial state. */
  OPEN,
  /**
   * The client violated the protocol: reading has stopped, and each request that is in flight or
   * was received in the same read gets an error.
   */
  FAILING,
  /** Reading has stopped, requests in flight were dropped, and the responses are being written. */
  FLUSHING,
  /** All responses are written and the output is shut down; the client has time to read them. */
  HALF_CLOSED,
  /** The socket is closed. */
  CLOSED;

  /** Returns whether a connection in this state still sends responses to requests. */
  boolean sendsResponses() {
    return this == OPEN || this == FAILING;
  }
}
