package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;

/** JSON from and to memory, as the protocols of registries and the snapshot file have it. */
final class JsonBytes {
  private static final JsonFactory JSON = new JsonFactory();

  /** The name of an answer in messages. */
  private static final String ANSWER = "registry";

  private JsonBytes() {}

  /** What is written. */
  interface Body {
    /** Writes all of it. */
    void writeTo(JsonGenerator json) throws IOException;
  }

  /** Writes JSON to memory. */
  static byte[] write(Body body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(out)) {
      body.writeTo(json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /** Reads an answer that is an object; throws {@link InvalidDocumentException} if it is not. */
  static JsonReader readObject(byte[] body) {
    try (JsonParser parser = JSON.createParser(body)) {
      return JsonReader.read(ANSWER, parser);
    } catch (IOException e) {
      throw notJson();
    }
  }

  /** Reads an answer that is an array of objects, likewise. */
  static List<JsonReader> readArray(byte[] body) {
    try (JsonParser parser = JSON.createParser(body)) {
      return JsonReader.readEach(ANSWER, parser);
    } catch (IOException e) {
      throw notJson();
    }
  }

  private static InvalidDocumentException notJson() {
    return new InvalidDocumentException(ANSWER + ": not JSON");
  }

  /** The bytes of a field in base64; none where it is absent. */
  static byte[] readBase64(JsonReader from, String name) {
    try {
      return from.has(name) ? Base64.getDecoder().decode(from.string(name)) : new byte[0];
    } catch (IllegalArgumentException e) {
      throw from.invalid(name, "not base64");
    }
  }
}
