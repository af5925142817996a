package org.amberpath.lab.registry;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** What the JSON of both stand-in protocols has in common. */
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

  /** The bytes of a base64 field; none where the field is missing. */
  static byte[] bytes(JsonObject from, String field) {
    return Base64.getDecoder().decode(from.getString(field, ""));
  }

  /** The text of a base64 field; empty where the field is missing. */
  static String text(JsonObject from, String field) {
    return new String(bytes(from, field), StandardCharsets.UTF_8);
  }

  /** A 64-bit number, which etcd's JSON has as a string; 0 where the field is missing. */
  static long number(JsonObject from, String field) {
    return Long.parseLong(from.getString(field, "0"));
  }
}
