package org.amberpath.gateway.testsupport;

import java.util.Map;

/** What a client got for one request: an error's code, or the body. */
public final class ClientAnswer {
  private final long messageId;
  private final String error;
  private final byte[] body;
  private final boolean isReady;
  private final Map<String, String> fields;

  ClientAnswer(long number, String error, byte[] body, boolean status, Map<String, String> fields) {
    this.messageId = number;
    this.error = error;
    this.body = body;
    this.isReady = status;
    this.fields = fields;
  }

  /** The message id of the request. */
  public long messageId() {
    return messageId;
  }

  /** The error's code; null where there is none. */
  public String error() {
    return error;
  }

  /** The body; null for an error and for a status. */
  public byte[] body() {
    return body;
  }

  /** What the answer to a status request says; false for all others. */
  public boolean isReady() {
    return isReady;
  }

  /** The details of the result or the error. */
  public Map<String, String> fields() {
    return fields;
  }
}
