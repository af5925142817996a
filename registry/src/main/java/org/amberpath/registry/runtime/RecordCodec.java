package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;

/**
 * Keys and values, version 1, as docs/operate/registry.md has them. A value that can't be read is
 * {@link Content.Unreadable}, never an exception.
 */
public final class RecordCodec {
  public static final String CACHES = "caches/", PURGES = "purges/", TASKS = "tasks/", TIP = "tip";

  /**
   * Who owns a task for now: gone with its lease. Beside {@link #TASKS}, so that one range has
   * both.
   */
  static final String OWNERS = "task-owners/";

  private static final int VERSION = 1, LONGEST_VALUE = 4096, LONGEST_NAME = 128;
  private static final JsonFactory JSON = new JsonFactory();

  private RecordCodec() {}

  /** Reads what stands under a key, given without the prefix. */
  static RegistryRecord read(String key, byte[] value) {
    boolean task = key.startsWith(TASKS) || key.startsWith(OWNERS);
    if (!key.startsWith(CACHES) && !key.startsWith(PURGES) && !task) {
      return new RegistryRecord.Other();
    }
    if (value.length > LONGEST_VALUE) {
      return new RegistryRecord.Unreadable("a value of " + value.length + " bytes");
    }
    try (JsonParser parser = JSON.createParser(value)) {
      JsonReader fields = JsonReader.read("value", parser);
      if (fields.whole("v") != VERSION) {
        return new RegistryRecord.Unreadable("version " + fields.whole("v"));
      }
      if (task) {
        return new RegistryRecord.Task(fields.whole("term"), name(fields, "by", fields.text("by")));
      }
      return key.startsWith(CACHES) ? cache(key.substring(CACHES.length()), fields) : purge(fields);
    } catch (IOException e) {
      return new RegistryRecord.Unreadable("not JSON");
    } catch (InvalidDocumentException e) {
      return new RegistryRecord.Unreadable(e.getMessage());
    }
  }

  private static RegistryRecord cache(String id, JsonReader fields) {
    EndpointState state =
        switch (fields.text("state")) {
          case "ready" -> EndpointState.UP;
          case "draining" -> EndpointState.DRAINING;
          default -> throw fields.wrong("state", "neither ready nor draining");
        };
    String address = fields.text("address");
    GatewayOptions.address("value: field 'address' is", address);
    double weight = fields.numberOr("weight", 1);
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw fields.wrong("weight", "no size");
    }
    return new RegistryRecord.Cache(
        name(fields, "id", id),
        address,
        name(fields, "zone", fields.text("zone")),
        name(fields, "kind", fields.text("kind")),
        fields.place("cell", 0),
        state,
        weight,
        fields.wholeOr("started_at_ms", 0));
  }

  private static String name(JsonReader fields, String key, String name) {
    if (name.isEmpty()
        || name.length() > LONGEST_NAME
        || name.chars().anyMatch(one -> one <= ' ' || one == ',')) {
      throw fields.wrong(key, "no name");
    }
    return name;
  }

  private static RegistryRecord purge(JsonReader fields) {
    long object = 0;
    if (fields.has("object")) {
      try {
        object = Long.parseUnsignedLong(fields.text("object"), 16);
      } catch (NumberFormatException e) {
        throw fields.wrong("object", "not an object's id");
      }
    }
    if (object == 0 && !fields.has("group")) {
      throw fields.wrong("object", "missing, and so is 'group'");
    }
    int group = fields.place("group", 0);
    if (group < 0) {
      throw fields.wrong("group", "negative");
    }
    return new RegistryRecord.Purge(object, group, fields.whole("at_ms"));
  }

  /** Why gateways would not read this of a cache; null where they would. */
  public static String fault(RegistryRecord.Cache cache) {
    return read(CACHES + cache.id(), write(cache)) instanceof RegistryRecord.Unreadable unreadable
        ? unreadable.why()
        : null;
  }

  /** The value that says this of a cache or a purge. */
  public static byte[] write(RegistryRecord content) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator to = JSON.createGenerator(out)) {
      to.writeStartObject();
      to.writeNumberField("v", VERSION);
      if (content instanceof RegistryRecord.Cache cache) {
        to.writeStringField("address", cache.address());
        to.writeStringField("zone", cache.zone());
        to.writeStringField("kind", cache.kind());
        to.writeNumberField("cell", cache.cell());
        to.writeStringField("state", cache.state() == EndpointState.UP ? "ready" : "draining");
        to.writeNumberField("weight", cache.weight());
        to.writeNumberField("started_at_ms", cache.startedAtMs());
      } else if (content instanceof RegistryRecord.Purge purge) {
        if (purge.object() != 0) {
          to.writeStringField("object", String.format("%016x", purge.object()));
        }
        to.writeNumberField("group", purge.group());
        to.writeNumberField("at_ms", purge.atMs());
      } else if (content instanceof RegistryRecord.Task task) {
        to.writeNumberField("term", task.term());
        to.writeStringField("by", task.by());
      }
      to.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
