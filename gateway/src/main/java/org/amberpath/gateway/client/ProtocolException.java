package org.amberpath.gateway.client;

import java.io.IOException;

/**
 * A client sent bytes after which the rest of its stream cannot be trusted: no request of that
 * message can be answered, and nothing more is read. The message says what was wrong.
 */
public final class ProtocolException extends IOException {
  private static final long serialVersionUID = 1;

  /** A violation, with its reason for the log. */
  ProtocolException(String reason) {
    super(reason);
  }

  /** The reason that goes into the log for any failure to decode a message. */
  static String reasonOf(Exception failure) {
    return failure.getMessage() == null ? failure.toString() : failure.getMessage();
  }
}
