package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;

/**
 * Codec of keys and values, version 1; docs/operate/registry.md defines the format. A value that
 * can't be decoded becomes {@link RegistryRecord.Unreadable}; no exception is thrown.
 */
public final class RecordCodec {
  /** Prefix of the keys of caches, after the prefix of all keys. */
  public static final String CACHES_PREFIX = "caches/";

  /** Prefix of the keys of purges, after the prefix of all keys. */
  public static final String PURGES_PREFIX = "purges/";

  /** Prefix of the keys of tasks' terms, after the prefix of all keys. */
  public static final String TASKS_PREFIX = "tasks/";

  /** The key of the tip, which every transaction writes except the one that acquires a task. */
  public static final String TIP_KEY = "tip";

  /**
   * Prefix of the keys of tasks' owners, which are deleted with their leases. It sorts next to
   * {@link #TASKS_PREFIX}, so that one range covers both.
   */
  static final String OWNERS_PREFIX = "task-owners/";

  private static final int VERSION = 1;
  private static final int MAX_VALUE_BYTES = 4096;
  private static final int MAX_NAME_LENGTH = 128;
  private static final JsonFactory JSON = new JsonFactory();

  private RecordCodec() {}

  /**
   * Decodes the value of a key.
   *
   * @param key the key without the prefix of all keys
   */
  static RegistryRecord decode(String key, byte[] value) {
    boolean isTask = key.startsWith(TASKS_PREFIX) || key.startsWith(OWNERS_PREFIX);
    if (!key.startsWith(CACHES_PREFIX) && !key.startsWith(PURGES_PREFIX) && !isTask) {
      return new RegistryRecord.Other();
    }
    if (value.length > MAX_VALUE_BYTES) {
      return new RegistryRecord.Unreadable(
          "value of " + value.length + " bytes, at most " + MAX_VALUE_BYTES + " are allowed");
    }
    try (JsonParser parser = JSON.createParser(value)) {
      JsonReader fields = JsonReader.read("value", parser);
      if (fields.longValue("v") != VERSION) {
        return new RegistryRecord.Unreadable(
            "version " + fields.longValue("v") + ", expected " + VERSION);
      }
      if (isTask) {
        return new RegistryRecord.Task(
            fields.longValue("term"), requireName(fields, "by", fields.string("by")));
      }
      return key.startsWith(CACHES_PREFIX)
          ? decodeCache(key.substring(CACHES_PREFIX.length()), fields)
          : decodePurge(fields);
    } catch (IOException e) {
      return new RegistryRecord.Unreadable("value is not valid JSON");
    } catch (InvalidDocumentException e) {
      return new RegistryRecord.Unreadable(e.getMessage());
    }
  }

  private static RegistryRecord decodeCache(String id, JsonReader fields) {
    EndpointState state =
        switch (fields.string("state")) {
          case "ready" -> EndpointState.UP;
          case "draining" -> EndpointState.DRAINING;
          default -> throw fields.invalid("state", "neither ready nor draining");
        };
    String address = fields.string("address");
    GatewayOptions.address("value: field 'address' is", address);
    return new RegistryRecord.Cache(
        requireName(fields, "id", id),
        address,
        requireName(fields, "zone", fields.string("zone")),
        requireName(fields, "kind", fields.string("kind")),
        fields.has("cell") ? OptionalInt.of(fields.intOr("cell", 0)) : OptionalInt.empty(),
        state,
        decodeWeight(fields),
        fields.longOr("started_at_ms", 0));
  }

  private static OptionalDouble decodeWeight(JsonReader fields) {
    if (!fields.has("weight")) {
      return OptionalDouble.empty();
    }
    double weight = fields.doubleOr("weight", 1);
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw fields.invalid("weight", "not a finite number above 0");
    }
    return OptionalDouble.of(weight);
  }

  private static String requireName(JsonReader fields, String key, String name) {
    if (name.isEmpty()
        || name.length() > MAX_NAME_LENGTH
        || name.chars().anyMatch(character -> character <= ' ' || character == ',')) {
      throw fields.invalid(
          key, "not a name of 1 to " + MAX_NAME_LENGTH + " characters without spaces and commas");
    }
    return name;
  }

  private static RegistryRecord decodePurge(JsonReader fields) {
    long object = 0;
    if (fields.has("object")) {
      try {
        object = Long.parseUnsignedLong(fields.string("object"), 16);
      } catch (NumberFormatException e) {
        throw fields.invalid("object", "not an object id in hexadecimal");
      }
    }
    if (object == 0 && !fields.has("group")) {
      throw fields.invalid("object", "missing, and so is 'group'");
    }
    int group = fields.intOr("group", 0);
    if (group < 0) {
      throw fields.invalid("group", "negative");
    }
    return new RegistryRecord.Purge(object, group, fields.longValue("at_ms"));
  }

  /** Returns why gateways could not decode this cache's record; null if they can. */
  public static String validationError(RegistryRecord.Cache cache) {
    return decode(CACHES_PREFIX + cache.id(), encode(cache))
            instanceof RegistryRecord.Unreadable unreadable
        ? unreadable.reason()
        : null;
  }

  /** Encodes a cache, a purge or a task. */
  public static byte[] encode(RegistryRecord value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.writeStartObject();
      json.writeNumberField("v", VERSION);
      if (value instanceof RegistryRecord.Cache cache) {
        json.writeStringField("address", cache.address());
        json.writeStringField("zone", cache.zone());
        json.writeStringField("kind", cache.kind());
        if (cache.cell().isPresent()) {
          json.writeNumberField("cell", cache.cell().getAsInt());
        }
        json.writeStringField("state", cache.state() == EndpointState.UP ? "ready" : "draining");
        if (cache.weight().isPresent()) {
          json.writeNumberField("weight", cache.weight().getAsDouble());
        }
        json.writeNumberField("started_at_ms", cache.startedAtMs());
      } else if (value instanceof RegistryRecord.Purge purge) {
        if (purge.object() != 0) {
          json.writeStringField("object", String.format("%016x", purge.object()));
        }
        json.writeNumberField("group", purge.group());
        json.writeNumberField("at_ms", purge.issuedAtMs());
      } else if (value instanceof RegistryRecord.Task task) {
        json.writeNumberField("term", task.term());
        json.writeStringField("by", task.leader());
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
