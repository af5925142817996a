package org.amberpath.cli;

import io.vertx.core.json.JsonObject;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/**
 * Prints registry entries and endpoint notifications to standard output, one line each: a JSON
 * object, or the key followed by {@code field=value} pairs. The methods of {@link EndpointListener}
 * are called on the event loop of the registry source.
 */
final class RegistryLinePrinter implements EndpointListener {
  private final boolean json;

  RegistryLinePrinter(boolean json) {
    this.json = json;
  }

  /** Returns the name of a state in the output, which is its name in the registry's records. */
  static String stateLabel(EndpointState state) {
    return switch (state) {
      case UP -> "ready";
      case DRAINING -> "draining";
      default -> "gone";
    };
  }

  /** Prints a cache, a purge or an unreadable value; entries of other kinds are not printed. */
  void printEntry(RegistryEntry entry, String prefix) {
    JsonObject line =
        new JsonObject()
            .put("key", entry.key().substring(prefix.length()))
            .put("revision", entry.modRevision());
    if (entry.value() instanceof RegistryRecord.Cache cache) {
      line.put("state", stateLabel(cache.state()))
          .put("address", cache.address())
          .put("zone", cache.zone())
          .put("kind", cache.kind())
          .put("weight", cache.weight().orElse(ListedEndpoint.DEFAULT_WEIGHT));
    } else if (entry.value() instanceof RegistryRecord.Purge purge) {
      line.put(
              "purge",
              purge.object() != 0
                  ? String.format("%016x", purge.object())
                  : "group " + purge.group())
          .put("at_ms", purge.issuedAtMs());
    } else if (entry.value() instanceof RegistryRecord.Unreadable unreadable) {
      line.put("unreadable", unreadable.reason());
    } else {
      return;
    }
    printLine(line);
  }

  /** Prints a key and the state that was written to it. */
  void printWritten(String key, String state) {
    printLine(new JsonObject().put("key", key).put("state", state));
  }

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    if (kind == EndpointListKind.FULL) {
      printLine(new JsonObject().put("key", "list").put("whole", true));
    }
  }

  @Override
  public void endpointListed(ListedEndpoint endpoint) {
    printLine(
        new JsonObject()
            .put("key", endpoint.id())
            .put("state", stateLabel(endpoint.state()))
            .put("address", endpoint.address())
            .put("zone", endpoint.zone())
            .put("kind", endpoint.kind())
            .put("weight", endpoint.weight().orElse(ListedEndpoint.DEFAULT_WEIGHT)));
  }

  @Override
  public void endpointListCompleted() {}

  @Override
  public void objectPurged(long object, int group, long atMs) {
    printLine(
        new JsonObject()
            .put("key", "purge")
            .put("object", String.format("%016x", object))
            .put("group", group)
            .put("at_ms", atMs));
  }

  private void printLine(JsonObject line) {
    System.out.println(json ? line.encode() : asText(line));
  }

  private static String asText(JsonObject line) {
    StringBuilder text = new StringBuilder();
    line.forEach(
        field ->
            text.append(text.isEmpty() ? "" : "  ")
                .append(
                    field.getKey().equals("key")
                        ? String.format("%-28s", field.getValue())
                        : field.getKey() + "=" + field.getValue()));
    return text.toString();
  }
}
