package org.amberpath.gateway.client;

/**
 * Thrown for a request whose message id could be decoded but whose method or fields are invalid, so
 * that it can be answered with an error. The message names the invalid field and is sent to the
 * client.
 */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1;

  /** Creates the exception with the reason that is sent to the client. */
  InvalidRequestException(String reason) {
    super(reason);
  }
}
