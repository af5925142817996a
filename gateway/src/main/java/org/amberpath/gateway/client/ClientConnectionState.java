package org.amberpath.gateway.client;

/** The states of a client's connection, in this order; it may skip some, and never goes back. */
enum ClientConnectionState {
  /** Requests are read and answered. */
  OPEN,
  /**
   * The protocol was violated: nothing more is read, and each request that was received in the same
   * read gets an error.
   */
  FAILING,
  /** Nothing more is read and no response is outstanding; the last ones are being written. */
  FLUSHING,
  /** They are written and the output is shut down; the client is given time to read them. */
  HALF_CLOSED,
  /** The socket is closed. */
  CLOSED;

  /** Whether requests may still get their responses. */
  boolean sendsResponses() {
    return this == OPEN || this == FAILING;
  }
}
