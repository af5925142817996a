package org.amberpath.lab.registry;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Helpers for the JSON requests and responses of both stand-in protocols. */
final class JsonResponses {
  private static final int STATUS_NOT_FOUND = 404;
  private static final int CODE_NOT_FOUND = 5;

  private JsonResponses() {}

  static void sendError(HttpServerResponse response, int status, int code, String message) {
    response
        .setStatusCode(status)
        .end(
            new JsonObject()
                .put("error", message)
                .put("code", code)
                .put("message", message)
                .encode());
  }

  static void sendNotFound(HttpServerResponse response) {
    sendError(response, STATUS_NOT_FOUND, CODE_NOT_FOUND, "not found");
  }

  static String base64(byte[] bytes) {
    return Base64.getEncoder().encodeToString(bytes);
  }

  static String base64(String text) {
    return base64(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Decodes a base64 field to bytes; an empty array if the field is missing. */
  static byte[] bytes(JsonObject from, String field) {
    return Base64.getDecoder().decode(from.getString(field, ""));
  }

  /** Decodes a base64 field to text; an empty string if the field is missing. */
  static String text(JsonObject from, String field) {
    return new String(bytes(from, field), StandardCharsets.UTF_8);
  }

  /** Parses a 64-bit number, which etcd's JSON encodes as a string; 0 if the field is missing. */
  static long number(JsonObject from, String field) {
    return Long.parseLong(from.getString(field, "0"));
  }
}
