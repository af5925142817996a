package org.amberpath.cli;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.amberpath.cli.settings.DeploymentFile;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.registry.runtime.RegistryAdminClient;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;
import org.amberpath.routing.EndpointState;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Lists, watches and changes the entries of the registry. Each write is one transaction that fails
 * if the key was modified since it was read.
 */
@Command(
    name = "registry",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    description = "Lists, watches and changes caches and purges in the registry.")
final class RegistryCommand {
  /** Time limit for all requests of one command together, and for closing Vert.x after a watch. */
  private static final long TIMEOUT_SECONDS = 30;

  private static final long MILLIS_PER_SECOND = 1000;

  @Option(
      names = "--file",
      required = true,
      defaultValue = "${AMBERPATH_FILE}",
      paramLabel = "INI",
      description =
          "Deployment file with section [registry]. Default: the value of AMBERPATH_FILE.")
  private Path file;

  @Option(names = "--json", description = "Print results as JSON, one object per line.")
  private boolean json;

  /** Sends the registry requests of one command; the result is the exit code. */
  private interface Operation {
    Future<Integer> run(RegistryAdminClient client, String prefix);
  }

  private RegistrySettings settings() {
    return DeploymentFile.read(file)
        .registry()
        .orElseThrow(
            () ->
                new InvalidSettingsException(
                    String.valueOf(file), "registry", "", file + ": [registry]: missing"));
  }

  private RegistryLinePrinter printer() {
    return new RegistryLinePrinter(json);
  }

  private int run(Operation operation) throws Exception {
    RegistrySettings settings = settings();
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    try (RegistryAdminClient client = new RegistryAdminClient(vertx, settings)) {
      return operation
          .run(client, settings.prefix())
          .toCompletionStage()
          .toCompletableFuture()
          .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      System.err.println(e.getCause().getMessage());
      return AmberpathCommand.FAILURE;
    } finally {
      vertx.close();
    }
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists all caches and purges.")
  int list() throws Exception {
    return run(
        (client, prefix) ->
            client
                .list()
                .map(
                    entries -> {
                      entries.forEach(entry -> printer().printEntry(entry, prefix));
                      return AmberpathCommand.SUCCESS;
                    }));
  }

  @Command(
      name = "drain",
      mixinStandardHelpOptions = true,
      description = "Drains a cache: gateways send it no new requests.")
  int drain(@Parameters(paramLabel = "ID") String id) throws Exception {
    return changeState(id, EndpointState.DRAINING);
  }

  @Command(
      name = "ready",
      mixinStandardHelpOptions = true,
      description = "Returns a drained cache to service.")
  int ready(@Parameters(paramLabel = "ID") String id) throws Exception {
    return changeState(id, EndpointState.UP);
  }

  @Command(
      name = "remove",
      mixinStandardHelpOptions = true,
      description = "Removes a cache; its id may be added again.")
  int remove(@Parameters(paramLabel = "ID") String id) throws Exception {
    return changeState(id, EndpointState.GONE);
  }

  private int changeState(String id, EndpointState state) throws Exception {
    return run(
        (client, prefix) ->
            client.list().compose(entries -> changeState(client, prefix, entries, id, state)));
  }

  private Future<Integer> changeState(
      RegistryAdminClient client,
      String prefix,
      List<RegistryEntry> entries,
      String id,
      EndpointState state) {
    String key = prefix + RecordCodec.CACHES_PREFIX + id;
    Optional<RegistryEntry> entry =
        entries.stream().filter(candidate -> candidate.key().equals(key)).findFirst();
    if (entry.isEmpty()) {
      return reportFailure(id + ": no such cache in the registry");
    }
    if (!(entry.get().value() instanceof RegistryRecord.Cache cache)) {
      return reportFailure(id + ": the registry's record of this cache can't be decoded");
    }
    RegistryRecord.Cache updated = state == EndpointState.GONE ? null : withState(cache, state);
    return client
        .write(key, updated, entry.get().modRevision())
        .map(written -> reportWrite(id, RegistryLinePrinter.stateLabel(state), written));
  }

  private static RegistryRecord.Cache withState(RegistryRecord.Cache cache, EndpointState state) {
    return new RegistryRecord.Cache(
        cache.id(),
        cache.address(),
        cache.zone(),
        cache.kind(),
        cache.cell(),
        state,
        cache.weight(),
        cache.startedAtMs());
  }

  private static Future<Integer> reportFailure(String message) {
    System.err.println(message);
    return Future.succeededFuture(AmberpathCommand.FAILURE);
  }

  /**
   * Prints the outcome of a write and returns the exit code.
   *
   * @param written false if the transaction's condition failed, so that nothing was written
   */
  private int reportWrite(String key, String state, boolean written) {
    if (!written) {
      System.err.println(
          key
              + ": not written: the key exists already or has changed since it was read; list it"
              + " and retry");
      return AmberpathCommand.FAILURE;
    }
    printer().printWritten(key, state);
    return AmberpathCommand.SUCCESS;
  }

  @Command(
      name = "add",
      mixinStandardHelpOptions = true,
      description = "Adds a cache whose id is not in the registry.")
  int add(@Parameters(paramLabel = "ID") String id, @Mixin NewCacheOptions options)
      throws Exception {
    RegistryRecord.Cache cache = options.toRecord(id);
    String validationError = RecordCodec.validationError(cache);
    if (validationError != null) {
      return usageError("add: gateways would reject this record: " + validationError);
    }
    return run(
        (client, prefix) ->
            client
                .write(prefix + RecordCodec.CACHES_PREFIX + id, cache, 0)
                .map(written -> reportWrite(id, "ready", written)));
  }

  @Command(
      name = "purge",
      mixinStandardHelpOptions = true,
      description =
          "Purges an object or a group: gateways no longer return copies older than the purge.")
  int purge(
      @Option(names = "--object", description = "Hexadecimal id of the object.") String object,
      @Option(
              names = "--group",
              defaultValue = "0",
              description = "Number of the group, if no object is given.")
          int group)
      throws Exception {
    long objectId;
    try {
      objectId = object == null ? 0 : Long.parseUnsignedLong(object, 16);
    } catch (NumberFormatException e) {
      return usageError("purge: --object: not a hexadecimal id: " + object);
    }
    if (objectId == 0 && group <= 0) {
      return usageError("purge: neither --object nor --group is given, or they are 0");
    }
    long atMillis = System.currentTimeMillis();
    String purgeId = atMillis + "-" + Long.toHexString(System.nanoTime());
    return run(
        (client, prefix) ->
            client
                .purge(purgeId, new RegistryRecord.Purge(objectId, group, atMillis))
                .map(
                    written ->
                        reportWrite(RecordCodec.PURGES_PREFIX + purgeId, "purged", written)));
  }

  private static int usageError(String message) {
    System.err.println(message);
    return AmberpathCommand.USAGE_ERROR;
  }

  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description =
          "Watches the registry as a gateway does and prints the updates that a gateway receives.")
  int watch(
      @Option(
              names = "--seconds",
              defaultValue = "0",
              description = "Seconds to watch; 0 for no limit. Default: ${DEFAULT-VALUE}.")
          int seconds)
      throws Exception {
    RegistrySettings settings = settings();
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Context context = vertx.getOrCreateContext();
    RegistrySource source = new RegistrySource(vertx, settings, printer(), System.nanoTime());
    context.runOnContext(ignored -> source.start());
    Thread.sleep(seconds == 0 ? Long.MAX_VALUE : seconds * MILLIS_PER_SECOND);
    context.runOnContext(ignored -> source.close());
    vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return AmberpathCommand.SUCCESS;
  }
}
