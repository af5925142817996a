package org.amberpath.gateway.testsupport;

import java.util.Map;

/** The response to one request of a {@link TestClient}: an error code, a body or a status. */
public final class ClientAnswer {
  private final long messageId;
  private final String error;
  private final byte[] body;
  private final boolean isReady;
  private final Map<String, String> fields;

  ClientAnswer(
      long messageId, String error, byte[] body, boolean isReady, Map<String, String> fields) {
    this.messageId = messageId;
    this.error = error;
    this.body = body;
    this.isReady = isReady;
    this.fields = fields;
  }

  /** Returns the message id of the request. */
  public long messageId() {
    return messageId;
  }

  /** Returns the error code; null for a result. */
  public String error() {
    return error;
  }

  /** Returns the body; null for an error and for a status response. */
  public byte[] body() {
    return body;
  }

  /** Returns whether a status response reported the gateway as ready; false for other responses. */
  public boolean isReady() {
    return isReady;
  }

  /** Returns the fields that accompany the result or the error. */
  public Map<String, String> fields() {
    return fields;
  }
}
