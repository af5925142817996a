package org.amberpath.gateway.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Typed access to the fields of one parsed JSON object. Each method that reads a field throws
 * {@link InvalidDocumentException} if the field has the wrong type, or if it is absent and the
 * method has no default. A field whose value is null counts as absent. Immutable.
 */
public final class JsonReader {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long NANOS_PER_MICRO = 1000;

  private final String name;
  private final Map<String, Object> values;

  /**
   * Creates a reader for the fields of an object.
   *
   * @param name the object's name in error messages
   * @param values the parsed fields: values are Long, Double, String, Boolean, List, Map or null
   */
  public JsonReader(String name, Map<String, Object> values) {
    this.name = name;
    this.values = values;
  }

  /** Returns a reader for the same fields that uses another name in error messages. */
  public JsonReader named(String newName) {
    return new JsonReader(newName, values);
  }

  /** Returns whether a field is present and not null. */
  public boolean has(String key) {
    return values.get(key) != null;
  }

  /** Returns a boolean field; false if the field is absent. */
  public boolean booleanOrFalse(String key) {
    return has(key) && required(key, Boolean.class, "true or false");
  }

  /** Returns a required string field. */
  public String string(String key) {
    return required(key, String.class, "a string");
  }

  /** Returns a required 64-bit integer field. */
  public long longValue(String key) {
    return required(key, Long.class, "a whole number");
  }

  /** Returns a 64-bit integer field, or the given default if the field is absent. */
  public long longOr(String key, long defaultValue) {
    return has(key) ? longValue(key) : defaultValue;
  }

  /**
   * Returns a 32-bit integer field, or the given default if the field is absent. A value outside
   * the range of an int is invalid.
   */
  public int intOr(String key, int defaultValue) {
    long value = longOr(key, defaultValue);
    if (value != (int) value) {
      throw invalid(key, "outside the range of a 32-bit integer: " + value);
    }
    return (int) value;
  }

  /** Returns a required numeric field, integer or floating-point. */
  public double doubleValue(String key) {
    return required(key, Number.class, "a number").doubleValue();
  }

  /** Returns a numeric field, or the given default if the field is absent. */
  public double doubleOr(String key, double defaultValue) {
    return has(key) ? doubleValue(key) : defaultValue;
  }

  /**
   * Returns a required duration in nanoseconds. The field holds seconds, with a resolution of one
   * microsecond.
   */
  public long durationNanos(String key) {
    return secondsToNanos(doubleValue(key));
  }

  /**
   * Returns a duration in nanoseconds, or the given default if the field is absent. The field holds
   * seconds.
   */
  public long durationNanosOr(String key, long defaultNanos) {
    return has(key) ? durationNanos(key) : defaultNanos;
  }

  /** Converts seconds to nanoseconds, rounded to the nearest microsecond. */
  public static long secondsToNanos(double seconds) {
    return Math.round(seconds * MICROS_PER_SECOND) * NANOS_PER_MICRO;
  }

  /** Returns a reader for a required object field. */
  public JsonReader object(String key) {
    return new JsonReader(name + " " + key, asFields(required(key, Map.class, "an object")));
  }

  /** Returns a reader for an object field; a reader without fields if the field is absent. */
  public JsonReader objectOrEmpty(String key) {
    return has(key) ? object(key) : new JsonReader(name + " " + key, Map.of());
  }

  /**
   * Returns readers for the objects of an array field; an empty list if the field is absent. An
   * element that is not an object is invalid.
   */
  public List<JsonReader> objects(String key) {
    List<JsonReader> objects = new ArrayList<>();
    for (Object element : elements(key)) {
      if (!(element instanceof Map)) {
        throw invalid(key, "not an array of objects");
      }
      objects.add(new JsonReader(name + " " + key, asFields(element)));
    }
    return objects;
  }

  /** Returns the elements of an array field; an empty list if the field is absent. */
  public List<?> elements(String key) {
    return has(key) ? required(key, List.class, "an array") : List.of();
  }

  /**
   * Returns the element at an index of an array field; the given default if the field is absent,
   * the index is outside the array or the element is null.
   */
  public <T> T elementOr(String key, int index, Class<T> type, T defaultValue) {
    List<?> elements = elements(key);
    if (index < 0 || index >= elements.size() || elements.get(index) == null) {
      return defaultValue;
    }
    if (!type.isInstance(elements.get(index))) {
      throw invalid(
          key, "an array whose element " + index + " is not of type " + type.getSimpleName());
    }
    return type.cast(elements.get(index));
  }

  /**
   * Creates an exception for an invalid field of this object, for the caller to throw.
   *
   * @param problem what the field is, as it follows "is" in the message: "missing", "not a string"
   */
  public InvalidDocumentException invalid(String key, String problem) {
    return new InvalidDocumentException(name, key, problem);
  }

  private <T> T required(String key, Class<T> type, String typeName) {
    Object value = values.get(key);
    if (value == null) {
      throw invalid(key, "missing");
    }
    if (!type.isInstance(value)) {
      throw invalid(key, "not " + typeName);
    }
    return type.cast(value);
  }

  @SuppressWarnings("unchecked") // The keys of parsed objects are strings.
  private static Map<String, Object> asFields(Object value) {
    return (Map<String, Object>) value;
  }

  /**
   * Parses a document that consists of exactly one JSON object.
   *
   * @param name the document's name in error messages
   * @throws IOException if the document is not valid JSON
   * @throws InvalidDocumentException if it is not an object, or another value follows
   */
  public static JsonReader read(String name, JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new InvalidDocumentException(name + ": not an object");
    }
    JsonReader object = new JsonReader(name, asFields(parseValue(parser)));
    expectEnd(name, parser);
    return object;
  }

  /**
   * Parses a document that consists of exactly one JSON array of objects.
   *
   * @param name the document's name in error messages
   * @throws IOException if the document is not valid JSON
   * @throws InvalidDocumentException if it is not an array of objects, or another value follows
   */
  public static List<JsonReader> readEach(String name, JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_ARRAY) {
      throw new InvalidDocumentException(name + ": not an array");
    }
    List<JsonReader> objects =
        new JsonReader(name, Map.of("all", parseValue(parser))).objects("all");
    expectEnd(name, parser);
    return objects;
  }

  private static void expectEnd(String name, JsonParser parser) throws IOException {
    if (parser.nextToken() != null) {
      throw new InvalidDocumentException(name + ": more than one JSON value");
    }
  }

  private static Object parseValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> parseArray(parser);
      case VALUE_NUMBER_INT -> Long.valueOf(parser.getLongValue());
      case VALUE_NUMBER_FLOAT -> Double.valueOf(parser.getDoubleValue());
      case VALUE_STRING -> parser.getText();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  private static Map<String, Object> object(JsonParser parser) throws IOException {
    Map<String, Object> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      parser.nextToken();
      fields.put(key, parseValue(parser));
    }
    return fields;
  }

  private static List<Object> parseArray(JsonParser parser) throws IOException {
    List<Object> elements = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      elements.add(parseValue(parser));
    }
    return elements;
  }
}
