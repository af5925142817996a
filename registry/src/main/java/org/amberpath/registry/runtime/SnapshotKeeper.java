package org.amberpath.registry.runtime;

import io.vertx.core.Future;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.amberpath.registry.Backoff;
import org.amberpath.registry.Snapshot;

/**
 * Writes snapshots to a file off the event loop, and again where that failed. Bounds: one write
 * under way, one snapshot pending, which is the latest; one line of log for each run of failures
 * and one for its end.
 */
final class SnapshotKeeper {
  private static final long FIRST_RETRY_NANOS = 1_000_000_000,
      LONGEST_RETRY_NANOS = 60 * FIRST_RETRY_NANOS;
  private static final long LEAST_RETRY_NANOS = 250_000_000;

  private final Path file;
  private final FileOperations files;
  private final long intervalNanos;
  private final Function<Callable<Void>, Future<Void>> worker;
  private final LongSupplier clock;
  private final Consumer<String> log;
  private final Backoff backoff;
  private Snapshot pending;
  private boolean writing, hasBegun;
  private long begunAt;
  private int failures;

  /** Keeps nothing yet; a file is written every so often at most. */
  SnapshotKeeper(
      Path file,
      FileOperations files,
      long every,
      Function<Callable<Void>, Future<Void>> worker,
      LongSupplier clock,
      long seed,
      Consumer<String> log) {
    this.file = file;
    this.files = files;
    this.intervalNanos = every;
    this.worker = worker;
    this.clock = clock;
    this.log = log;
    backoff = new Backoff(new SplittableRandom(seed), FIRST_RETRY_NANOS, LONGEST_RETRY_NANOS);
  }

  /**
   * Begins a write if one is due.
   *
   * @param latest the view as it stands; null where it is not to be kept now: then only what is
   *     pending is written
   */
  void tick(Supplier<Snapshot> latest) {
    long now = clock.getAsLong();
    boolean isDue =
        backoff.isFailing() ? backoff.allows(now) : !hasBegun || now - begunAt >= intervalNanos;
    if (writing || !isDue) {
      return;
    }
    Snapshot fresh = latest.get();
    pending = fresh == null ? pending : fresh;
    if (pending != null) {
      begin(now, pending);
    }
  }

  private void begin(long now, Snapshot snapshot) {
    writing = true;
    hasBegun = true;
    begunAt = now;
    worker
        .apply(
            () -> {
              SnapshotFile.write(file, snapshot, files);
              return null;
            })
        .onComplete(
            done -> {
              writing = false;
              if (done.succeeded()) {
                succeeded();
              } else {
                failed(done.cause());
              }
            });
  }

  private void succeeded() {
    pending = null;
    if (failures > 0) {
      log.accept("the snapshot is written again, after " + failures + " failures");
    }
    failures = 0;
    backoff.reset();
  }

  private void failed(Throwable why) {
    if (failures++ == 0) {
      log.accept(
          "the snapshot can't be written, the one before stays and it is tried again: " + why);
    }
    backoff.recordFailure(clock.getAsLong(), LEAST_RETRY_NANOS);
  }
}
