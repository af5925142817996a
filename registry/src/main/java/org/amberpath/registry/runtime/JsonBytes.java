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

/** Encodes and decodes JSON in memory, for the registry protocols and the snapshot file. */
final class JsonBytes {
  private static final JsonFactory JSON = new JsonFactory();

  /** The name of a registry response in error messages. */
  private static final String RESPONSE_NAME = "registry";

  private JsonBytes() {}

  /** Writes the contents of a document. */
  interface Body {
    /** Writes the contents. */
    void writeTo(JsonGenerator json) throws IOException;
  }

  /** Encodes a document. */
  static byte[] write(Body body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(out)) {
      body.writeTo(json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /** Decodes a response that is an object; throws {@link InvalidDocumentException} if it is not. */
  static JsonReader readObject(byte[] body) {
    try (JsonParser parser = JSON.createParser(body)) {
      return JsonReader.read(RESPONSE_NAME, parser);
    } catch (IOException e) {
      throw notJson();
    }
  }

  /**
   * Decodes a response that is an array of objects; throws {@link InvalidDocumentException} if it
   * is not.
   */
  static List<JsonReader> readArray(byte[] body) {
    try (JsonParser parser = JSON.createParser(body)) {
      return JsonReader.readEach(RESPONSE_NAME, parser);
    } catch (IOException e) {
      throw notJson();
    }
  }

  private static InvalidDocumentException notJson() {
    return new InvalidDocumentException(RESPONSE_NAME + ": the response is not valid JSON");
  }

  /** Decodes a base64 field; returns an empty array if it is absent. */
  static byte[] readBase64(JsonReader json, String name) {
    try {
      return json.has(name) ? Base64.getDecoder().decode(json.string(name)) : new byte[0];
    } catch (IllegalArgumentException e) {
      throw json.invalid(name, "not base64");
    }
  }
}
