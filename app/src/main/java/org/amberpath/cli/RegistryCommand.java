package org.amberpath.cli;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.registry.runtime.RegistryAdminClient;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * What operators do at the registry. Each write is one transaction that fails if the key moved
 * meanwhile.
 */
@Command(
    name = "registry",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    description = "Reads and writes the registry of caches and purges.")
final class RegistryCommand {
  private static final long PATIENCE_S = 30;

  @Option(
      names = "--file",
      required = true,
      defaultValue = "${AMBERPATH_FILE}",
      paramLabel = "INI",
      description = "Settings with [registry]; AMBERPATH_FILE otherwise.")
  private Path file;

  @Option(names = "--json", description = "One JSON object a line.")
  private boolean json;

  /** What is done with a registry that answers. */
  private interface Work {
    Future<Integer> at(RegistryAdminClient desk, RegistrySettings access) throws Exception;
  }

  private RegistrySettings access() {
    RegistrySettings access = DeploymentFile.read(file).registry();
    if (access == null) {
      throw new InvalidSettingsException(
          String.valueOf(file), "registry", "", file + ": [registry]: missing");
    }
    return access;
  }

  private int with(Work work) throws Exception {
    RegistrySettings access = access();
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    try (RegistryAdminClient desk = new RegistryAdminClient(vertx, access)) {
      return work.at(desk, access)
          .toCompletionStage()
          .toCompletableFuture()
          .get(PATIENCE_S, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      System.err.println(e.getCause().getMessage());
      return AmberpathCommand.FAILED;
    } finally {
      vertx.close();
    }
  }

  @Command(name = "list", mixinStandardHelpOptions = true, description = "All caches and purges.")
  int list() throws Exception {
    return with(
        (desk, access) ->
            desk.list()
                .map(
                    all -> {
                      all.forEach(held -> print(held, access.prefix()));
                      return AmberpathCommand.DONE;
                    }));
  }

  private void print(RegistryEntry held, String prefix) {
    String key = held.key().substring(prefix.length());
    JsonObject line = new JsonObject().put("key", key).put("revision", held.modRevision());
    if (held.value() instanceof RegistryRecord.Cache cache) {
      line.put("state", say(cache.state()))
          .put("address", cache.address())
          .put("zone", cache.zone())
          .put("kind", cache.kind())
          .put("weight", cache.weight());
    } else if (held.value() instanceof RegistryRecord.Purge purge) {
      line.put(
              "purge",
              purge.object() != 0
                  ? String.format("%016x", purge.object())
                  : "group " + purge.group())
          .put("at_ms", purge.atMs());
    } else if (held.value() instanceof RegistryRecord.Unreadable unreadable) {
      line.put("unreadable", unreadable.reason());
    } else {
      return;
    }
    say(line);
  }

  private void say(JsonObject line) {
    if (json) {
      System.out.println(line.encode());
    } else {
      StringBuilder words = new StringBuilder();
      line.forEach(
          field ->
              words
                  .append(words.isEmpty() ? "" : "  ")
                  .append(
                      field.getKey().equals("key")
                          ? String.format("%-28s", field.getValue())
                          : field.getKey() + "=" + field.getValue()));
      System.out.println(words);
    }
  }

  private static String say(EndpointState state) {
    return switch (state) {
      case UP -> "ready";
      case DRAINING -> "draining";
      default -> "gone";
    };
  }

  /** Changes a cache that is there. */
  private int change(String id, EndpointState to) throws Exception {
    return with(
        (desk, access) ->
            desk.list()
                .compose(
                    all -> {
                      String key = access.prefix() + RecordCodec.CACHES_PREFIX + id;
                      RegistryEntry held =
                          all.stream()
                              .filter(one -> one.key().equals(key))
                              .findFirst()
                              .orElse(null);
                      if (held == null || !(held.value() instanceof RegistryRecord.Cache was)) {
                        System.err.println(
                            id
                                + ": "
                                + (held == null ? "no such cache" : "its value can't be read"));
                        return Future.succeededFuture(AmberpathCommand.FAILED);
                      }
                      RegistryRecord.Cache now =
                          to == EndpointState.GONE
                              ? null
                              : new RegistryRecord.Cache(
                                  id,
                                  was.address(),
                                  was.zone(),
                                  was.kind(),
                                  was.cell(),
                                  to,
                                  was.weight(),
                                  was.startedAtMs());
                      return desk.write(key, now, held.modRevision())
                          .map(done -> written(id, say(to), done));
                    }));
  }

  private int written(String id, String what, boolean done) {
    if (!done) {
      System.err.println(id + ": nothing was written: its key moved meanwhile; look again");
      return AmberpathCommand.FAILED;
    }
    say(new JsonObject().put("key", id).put("state", what));
    return AmberpathCommand.DONE;
  }

  @Command(
      name = "drain",
      mixinStandardHelpOptions = true,
      description = "Nothing new goes to a cache.")
  int drain(@Parameters(paramLabel = "ID") String id) throws Exception {
    return change(id, EndpointState.DRAINING);
  }

  @Command(
      name = "ready",
      mixinStandardHelpOptions = true,
      description = "A drained cache takes GETs again.")
  int ready(@Parameters(paramLabel = "ID") String id) throws Exception {
    return change(id, EndpointState.UP);
  }

  @Command(
      name = "remove",
      mixinStandardHelpOptions = true,
      description = "A cache is gone; its id may come anew.")
  int remove(@Parameters(paramLabel = "ID") String id) throws Exception {
    return change(id, EndpointState.GONE);
  }

  @Command(
      name = "add",
      mixinStandardHelpOptions = true,
      description = "A cache that is not there yet.")
  int add(
      @Parameters(paramLabel = "ID") String id,
      @Option(names = "--address", required = true, description = "Numeric address:port.")
          String address,
      @Option(
              names = "--zone",
              required = true,
              description = "The zone, as the site's settings name it.")
          String zone,
      @Option(names = "--kind", required = true, description = "The kind, likewise.") String kind,
      @Option(names = "--weight", defaultValue = "1", description = "Its size. Default: 1.")
          double weight,
      @Option(names = "--cell", defaultValue = "0", description = "Its shelf. Default: 0.")
          int cell,
      @Option(names = "--cold", description = "It has just started and holds nothing.")
          boolean cold)
      throws Exception {
    RegistryRecord.Cache cache =
        new RegistryRecord.Cache(
            id,
            address,
            zone,
            kind,
            cell,
            EndpointState.UP,
            weight,
            cold ? System.currentTimeMillis() : 0);
    String fault = RecordCodec.validationError(cache);
    if (fault != null) {
      System.err.println("add: gateways would not take that: " + fault);
      return AmberpathCommand.USAGE;
    }
    return with(
        (desk, access) ->
            desk.write(access.prefix() + RecordCodec.CACHES_PREFIX + id, cache, 0)
                .map(done -> written(id, "ready", done)));
  }

  @Command(
      name = "purge",
      mixinStandardHelpOptions = true,
      description =
          "Copies of an object, or of a group, from before now are not returned any more.")
  int purge(
      @Option(names = "--object", description = "Its id, hexadecimal.") String object,
      @Option(names = "--group", defaultValue = "0", description = "Where no object is named.")
          int group)
      throws Exception {
    long id;
    try {
      id = object == null ? 0 : Long.parseUnsignedLong(object, 16);
    } catch (NumberFormatException e) {
      System.err.println("purge: --object: no hexadecimal id: " + object);
      return AmberpathCommand.USAGE;
    }
    if (id == 0 && group <= 0) {
      System.err.println("purge: --object or --group");
      return AmberpathCommand.USAGE;
    }
    long now = System.currentTimeMillis();
    String name = now + "-" + Long.toHexString(System.nanoTime());
    return with(
        (desk, access) ->
            desk.purge(name, new RegistryRecord.Purge(id, group, now))
                .map(done -> written(RecordCodec.PURGES_PREFIX + name, "purged", done)));
  }

  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description = "Follows the registry as a gateway does, and prints what it would be told.")
  int watch(
      @Option(names = "--seconds", defaultValue = "0", description = "0: until it is stopped.")
          int seconds)
      throws Exception {
    RegistrySettings access = access();
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Context context = vertx.getOrCreateContext();
    RegistrySource source = new RegistrySource(vertx, access, new Printer(), System.nanoTime());
    context.runOnContext(loop -> source.start());
    Thread.sleep(seconds == 0 ? Long.MAX_VALUE : seconds * 1000L);
    context.runOnContext(loop -> source.close());
    vertx.close().toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
    return AmberpathCommand.DONE;
  }

  /** Prints what a gateway would be told. */
  private final class Printer implements EndpointListener {
    @Override
    public void endpointListStarted(EndpointListKind kind) {
      if (kind == EndpointListKind.FULL) {
        say(new JsonObject().put("key", "list").put("whole", true));
      }
    }

    @Override
    public void endpointListed(ListedEndpoint endpoint) {
      say(
          new JsonObject()
              .put("key", endpoint.id())
              .put("state", say(endpoint.state()))
              .put("address", endpoint.address())
              .put("zone", endpoint.zone())
              .put("kind", endpoint.kind())
              .put("weight", endpoint.weight()));
    }

    @Override
    public void endpointListCompleted() {}

    @Override
    public void objectPurged(long object, int group, long atMs) {
      say(
          new JsonObject()
              .put("key", "purge")
              .put("object", String.format("%016x", object))
              .put("group", group)
              .put("at_ms", atMs));
    }

    private String say(EndpointState state) {
      return RegistryCommand.say(state);
    }

    private void say(JsonObject line) {
      RegistryCommand.this.say(line);
    }
  }
}
