package org.amberpath.gateway.client;

import java.io.IOException;

/**
 * Thrown for a violation of the protocol after which the rest of the client's stream cannot be
 * trusted: nothing more is read from the connection. The message says what was wrong; it is logged
 * and not sent to the client.
 */
public final class ProtocolException extends IOException {
  private static final long serialVersionUID = 1;

  /** Creates the exception with the reason for the log. */
  ProtocolException(String reason) {
    super(reason);
  }

  /** Returns the text that is logged for a failure to decode a message. */
  static String reasonOf(Exception failure) {
    return failure instanceof ProtocolException
        ? failure.getMessage()
        : "message: could not be handled: " + failure;
  }
}
