package org.amberpath.gateway.client;

/**
 * A request whose message id is known but whose method or fields are invalid: it can be answered
 * with an error. The message says which field is wrong and how.
 */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1;

  /** An invalid request, with the reason that is sent to its client. */
  InvalidRequestException(String reason) {
    super(reason);
  }
}
