package org.amberpath.gateway.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of one JSON object, read with plain messages on what is missing or of the wrong type.
 */
public final class JsonReader {
  private final String name;
  private final Map<String, Object> values;

  public JsonReader(String name, Map<String, Object> values) {
    this.name = name;
    this.values = values;
  }

  /** The same fields under the name of the message that they make up. */
  public JsonReader named(String other) {
    return new JsonReader(other, values);
  }

  public boolean has(String key) {
    return values.get(key) != null;
  }

  public boolean flag(String key) {
    return has(key) && take(key, Boolean.class, "true or false");
  }

  public String text(String key) {
    return take(key, String.class, "a string");
  }

  public long whole(String key) {
    return take(key, Long.class, "a whole number");
  }

  public long wholeOr(String key, long absent) {
    return has(key) ? whole(key) : absent;
  }

  public int place(String key, int absent) {
    long value = wholeOr(key, absent);
    if (value != (int) value) {
      throw wrong(key, "too large");
    }
    return (int) value;
  }

  public double number(String key) {
    return take(key, Number.class, "a number").doubleValue();
  }

  public double numberOr(String key, double absent) {
    return has(key) ? number(key) : absent;
  }

  /** A time in seconds, as nanoseconds; the wire counts whole microseconds. */
  public long time(String key) {
    return nanos(number(key));
  }

  public long timeOr(String key, long absent) {
    return has(key) ? time(key) : absent;
  }

  public static long nanos(double seconds) {
    return Math.round(seconds * 1e6) * 1000;
  }

  public JsonReader fields(String key) {
    return new JsonReader(name + " " + key, map(take(key, Map.class, "an object")));
  }

  public JsonReader fieldsOr(String key) {
    return has(key) ? fields(key) : new JsonReader(name + " " + key, Map.of());
  }

  /** The objects of an array; none where it is absent. */
  public List<JsonReader> each(String key) {
    List<JsonReader> all = new ArrayList<>();
    for (Object one : list(key)) {
      if (!(one instanceof Map)) {
        throw wrong(key, "not an array of objects");
      }
      all.add(new JsonReader(name + " " + key, map(one)));
    }
    return all;
  }

  public List<?> list(String key) {
    return has(key) ? take(key, List.class, "an array") : List.of();
  }

  /** The value at one place of an array; absent where the array is shorter. */
  public <T> T at(String key, int place, Class<T> type, T absent) {
    List<?> all = list(key);
    if (place < 0 || place >= all.size() || all.get(place) == null) {
      return absent;
    }
    if (!type.isInstance(all.get(place))) {
      throw wrong(key, "holds a value of the wrong type");
    }
    return type.cast(all.get(place));
  }

  public Malformed wrong(String key, String what) {
    return new Malformed(name + ": field '" + key + "' is " + what);
  }

  private <T> T take(String key, Class<T> type, String what) {
    Object value = values.get(key);
    if (value == null) {
      throw wrong(key, "missing");
    }
    if (!type.isInstance(value)) {
      throw wrong(key, "not " + what);
    }
    return type.cast(value);
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> map(Object value) {
    return (Map<String, Object>) value;
  }

  /** Reads the one JSON object that a text holds. */
  public static JsonReader read(String name, JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new Malformed(name + ": not an object");
    }
    JsonReader all = new JsonReader(name, map(value(parser)));
    if (parser.nextToken() != null) {
      throw new Malformed(name + ": more than one value");
    }
    return all;
  }

  /** Reads the objects of the one array that a text holds. */
  public static List<JsonReader> readEach(String name, JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_ARRAY) {
      throw new Malformed(name + ": not an array");
    }
    List<JsonReader> all = new JsonReader(name, Map.of("all", value(parser))).each("all");
    if (parser.nextToken() != null) {
      throw new Malformed(name + ": more than one value");
    }
    return all;
  }

  private static Object value(JsonParser parser) throws IOException {
    switch (parser.currentToken()) {
      case START_OBJECT:
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
          String key = parser.currentName();
          parser.nextToken();
          fields.put(key, value(parser));
        }
        return fields;
      case START_ARRAY:
        List<Object> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          items.add(value(parser));
        }
        return items;
      case VALUE_NUMBER_INT:
        return parser.getLongValue();
      case VALUE_NUMBER_FLOAT:
        return parser.getDoubleValue();
      case VALUE_STRING:
        return parser.getText();
      case VALUE_TRUE:
        return true;
      case VALUE_FALSE:
        return false;
      default:
        return null;
    }
  }

  /** Something on the wire is not as the wire page has it. */
  public static final class Malformed extends RuntimeException {
    public Malformed(String message) {
      super(message);
    }
  }
}
