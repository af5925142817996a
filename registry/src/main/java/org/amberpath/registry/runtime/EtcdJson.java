package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonGenerator;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.amberpath.gateway.settings.JsonReader;

/**
 * The forms that etcd's JSON gateway has for requests and for values: bytes are in base64, 64-bit
 * numbers are strings, and what is zero is absent.
 */
final class EtcdJson {
  private EtcdJson() {}

  /** A request whose body is an object. */
  static RegistryProtocol.Request post(String uri, JsonBytes.Body fields) {
    return new RegistryProtocol.Request(
        HttpMethod.POST,
        uri,
        JsonBytes.write(
            json -> {
              json.writeStartObject();
              fields.writeTo(json);
              json.writeEndObject();
            }));
  }

  /** Writes a string's bytes in base64. */
  static void writeBytes(JsonGenerator json, String name, String value) throws IOException {
    json.writeStringField(
        name, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
  }

  /** Writes a 64-bit number. */
  static void writeLong(JsonGenerator json, String name, long value) throws IOException {
    json.writeStringField(name, Long.toString(value));
  }

  /** Reads a 64-bit number that is not negative; 0 where it is absent. */
  static long readLong(JsonReader from, String name) {
    if (!from.has(name)) {
      return 0;
    }
    try {
      long value = Long.parseLong(from.string(name));
      if (value >= 0) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below.
    }
    throw from.invalid(name, "no 64-bit number from 0 on");
  }
}
