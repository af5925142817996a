package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonGenerator;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.amberpath.gateway.settings.JsonReader;

/**
 * Encoding of etcd's JSON gateway: bytes are base64, 64-bit integers are strings, and zero values
 * are omitted.
 */
final class EtcdJson {
  private EtcdJson() {}

  /** Creates a POST request with an object as body. */
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

  /** Writes a string's UTF-8 bytes in base64. */
  static void writeBytes(JsonGenerator json, String name, String value) throws IOException {
    json.writeStringField(
        name, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
  }

  /** Writes a 64-bit integer as a string. */
  static void writeLong(JsonGenerator json, String name, long value) throws IOException {
    json.writeStringField(name, Long.toString(value));
  }

  /** Reads a 64-bit integer that is not negative; 0 if it is absent. */
  static long readLong(JsonReader json, String name) {
    if (!json.has(name)) {
      return 0;
    }
    try {
      long value = Long.parseLong(json.string(name));
      if (value >= 0) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below.
    }
    throw json.invalid(name, "not a 64-bit integer of at least 0");
  }
}
