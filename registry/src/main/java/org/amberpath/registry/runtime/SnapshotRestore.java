package org.amberpath.registry.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.amberpath.registry.RegistryListing;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.Snapshot;

/**
 * Restores a view from the snapshot file at the start. The file is read off the event loop. If the
 * disk takes longer than {@value #TIMEOUT_MILLIS} ms, the gateway starts without the snapshot.
 */
final class SnapshotRestore {
  private static final long TIMEOUT_MILLIS = 1000;
  private static final long MS = 1_000_000;

  private final Vertx vertx;
  private final RegistrySettings settings;
  private final LongSupplier clockNanos;
  private final RegistryLog log;

  SnapshotRestore(
      Vertx vertx, RegistrySettings settings, LongSupplier clockNanos, RegistryLog log) {
    this.vertx = vertx;
    this.settings = settings;
    this.clockNanos = clockNanos;
    this.log = log;
  }

  /**
   * Restores the view from the file if it is valid and recent enough. The future never fails: a
   * snapshot that can't be used is logged and ignored.
   */
  Future<Void> restoreInto(RegistryView view) {
    return vertx
        .executeBlocking(this::read, false)
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .map(
            snapshot -> {
              snapshot.ifPresent(restored -> restore(restored, view));
              return (Void) null;
            })
        .otherwise(
            cause -> {
              log.warning(
                  "the snapshot " + settings.snapshotFile() + " is ignored: " + cause.getMessage());
              return null;
            });
  }

  private Optional<Snapshot> read() throws SnapshotException {
    Path file = settings.snapshotFile();
    SnapshotFile.deleteLeftovers(file, FileOperations.DISK);
    return Files.exists(file)
        ? Optional.of(SnapshotFile.read(file, settings.maxResponseBytes()))
        : Optional.empty();
  }

  private void restore(Snapshot snapshot, RegistryView view) {
    long nowNanos = clockNanos.getAsLong();
    Optional<String> rejectionReason =
        snapshot.rejectionReason(nowNanos, settings.prefix(), settings.maxSnapshotAgeNanos());
    if (rejectionReason.isPresent()) {
      log.warning(
          "the snapshot " + settings.snapshotFile() + " is ignored: " + rejectionReason.get());
      return;
    }
    long ageNanos = snapshot.ageNanos(nowNanos);
    view.restoreSnapshot(
        nowNanos,
        new RegistryListing(
            snapshot.entries(), snapshot.cluster(), snapshot.revision(), nowNanos - ageNanos));
    log.infoUnlimited(
        "serving from the snapshot of revision "
            + snapshot.revision()
            + ", "
            + ageNanos / MS
            + " ms old");
  }
}
