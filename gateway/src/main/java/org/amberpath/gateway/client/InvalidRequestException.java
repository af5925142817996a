package org.amberpath.gateway.client;

/**
 * Thrown for a request whose message id could be decoded but whose method or fields are invalid, so
 * that it can be answered with an error. The message names the invalid field and is sent to the
 * client.
 */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1;

  /** What was found and expected, for the log only; empty for nothing beyond the message. */
  private final String detail;

  /** Creates the exception with the reason that is sent to the client. */
  InvalidRequestException(String reason) {
    this(reason, "");
  }

  /** Creates the exception with the reason that is sent to the client and a detail for the log. */
  InvalidRequestException(String reason, String detail) {
    super(reason);
    this.detail = detail;
  }

  /** Returns the text for the log: the reason and the detail. */
  String logText() {
    return detail.isEmpty() ? getMessage() : getMessage() + ": " + detail;
  }
}
