package org.amberpath.gateway.cache;

/**
 * A cache sent bytes after which its stream cannot be trusted: the connection is closed. The
 * message says what was wrong.
 */
final class InvalidReplyException extends Exception {
  private static final long serialVersionUID = 1;

  /** An invalid reply, with its reason for the log. */
  InvalidReplyException(String reason) {
    super(reason);
  }
}
