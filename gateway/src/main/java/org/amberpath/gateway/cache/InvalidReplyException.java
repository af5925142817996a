package org.amberpath.gateway.cache;

/**
 * Thrown when a cache sends an invalid reply, after which the connection is closed because the rest
 * of its stream cannot be trusted. The message says what was wrong; it is logged.
 */
final class InvalidReplyException extends Exception {
  private static final long serialVersionUID = 1;

  /** Creates the exception with the reason for the log. */
  InvalidReplyException(String reason) {
    super(reason);
  }
}
