package org.amberpath.gateway.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of one JSON object, read with messages on what is missing or of the wrong type. Each
 * method that reads throws {@link InvalidDocumentException}. A field that is null counts as absent.
 */
public final class JsonReader {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long NANOS_PER_MICRO = 1000;

  private final String name;
  private final Map<String, Object> values;

  /**
   * The fields of an object.
   *
   * @param name the object's name in messages
   * @param values what the parser made of them: Long, Double, String, Boolean, List and Map
   */
  public JsonReader(String name, Map<String, Object> values) {
    this.name = name;
    this.values = values;
  }

  /** The same fields under the name of the message that they make up. */
  public JsonReader named(String other) {
    return new JsonReader(other, values);
  }

  /** Whether a field is present. */
  public boolean has(String key) {
    return values.get(key) != null;
  }

  /** A boolean; false where it is absent. */
  public boolean booleanOrFalse(String key) {
    return has(key) && required(key, Boolean.class, "true or false");
  }

  /** A string. */
  public String string(String key) {
    return required(key, String.class, "a string");
  }

  /** An integer of 64 bits. */
  public long longValue(String key) {
    return required(key, Long.class, "a whole number");
  }

  /** An integer of 64 bits, with a default. */
  public long longOr(String key, long absent) {
    return has(key) ? longValue(key) : absent;
  }

  /** An integer of 32 bits, with a default. */
  public int intOr(String key, int absent) {
    long value = longOr(key, absent);
    if (value != (int) value) {
      throw invalid(key, "too large");
    }
    return (int) value;
  }

  /** A number. */
  public double doubleValue(String key) {
    return required(key, Number.class, "a number").doubleValue();
  }

  /** A number, with a default. */
  public double doubleOr(String key, double absent) {
    return has(key) ? doubleValue(key) : absent;
  }

  /** A time in seconds, as nanoseconds; the wire counts whole microseconds. */
  public long durationNanos(String key) {
    return secondsToNanos(doubleValue(key));
  }

  /** A time in seconds, as nanoseconds, with a default in nanoseconds. */
  public long durationNanosOr(String key, long absentNanos) {
    return has(key) ? durationNanos(key) : absentNanos;
  }

  /** Seconds as nanoseconds, rounded to whole microseconds. */
  public static long secondsToNanos(double seconds) {
    return Math.round(seconds * MICROS_PER_SECOND) * NANOS_PER_MICRO;
  }

  /** An object. */
  public JsonReader object(String key) {
    return new JsonReader(name + " " + key, map(required(key, Map.class, "an object")));
  }

  /** An object; one without fields where it is absent. */
  public JsonReader objectOrEmpty(String key) {
    return has(key) ? object(key) : new JsonReader(name + " " + key, Map.of());
  }

  /** The objects of an array; none where it is absent. */
  public List<JsonReader> objects(String key) {
    List<JsonReader> objects = new ArrayList<>();
    for (Object element : elements(key)) {
      if (!(element instanceof Map)) {
        throw invalid(key, "not an array of objects");
      }
      objects.add(new JsonReader(name + " " + key, map(element)));
    }
    return objects;
  }

  /** The elements of an array; none where it is absent. */
  public List<?> elements(String key) {
    return has(key) ? required(key, List.class, "an array") : List.of();
  }

  /** The element at an index of an array; a default where the array is shorter. */
  public <T> T elementOr(String key, int index, Class<T> type, T absent) {
    List<?> elements = elements(key);
    if (index < 0 || index >= elements.size() || elements.get(index) == null) {
      return absent;
    }
    if (!type.isInstance(elements.get(index))) {
      throw invalid(key, "holds a value of the wrong type");
    }
    return type.cast(elements.get(index));
  }

  /** The exception that says what a field is, to be thrown by the caller. */
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

  @SuppressWarnings("unchecked") // The parser's objects have string keys.
  private static Map<String, Object> map(Object value) {
    return (Map<String, Object>) value;
  }

  /**
   * Reads the one JSON object that a text holds.
   *
   * @throws IOException if the text is not JSON
   */
  public static JsonReader read(String name, JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new InvalidDocumentException(name + ": not an object");
    }
    JsonReader object = new JsonReader(name, map(value(parser)));
    expectEnd(name, parser);
    return object;
  }

  /**
   * Reads the objects of the one array that a text holds.
   *
   * @throws IOException if the text is not JSON
   */
  public static List<JsonReader> readEach(String name, JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_ARRAY) {
      throw new InvalidDocumentException(name + ": not an array");
    }
    List<JsonReader> objects = new JsonReader(name, Map.of("all", value(parser))).objects("all");
    expectEnd(name, parser);
    return objects;
  }

  private static void expectEnd(String name, JsonParser parser) throws IOException {
    if (parser.nextToken() != null) {
      throw new InvalidDocumentException(name + ": more than one value");
    }
  }

  private static Object value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
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
      fields.put(key, value(parser));
    }
    return fields;
  }

  private static List<Object> array(JsonParser parser) throws IOException {
    List<Object> elements = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      elements.add(value(parser));
    }
    return elements;
  }
}
