package org.amberpath.registry.runtime;

import io.vertx.core.Future;
import java.nio.file.Path;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.amberpath.registry.Backoff;
import org.amberpath.registry.Snapshot;

/**
 * Writes snapshots to a file, off the event loop, and retries failed writes. Bounds: one write in
 * progress and one pending snapshot, the latest; one log line at the first failure of a series, and
 * one at its end.
 */
final class SnapshotWriter {
  private static final long FIRST_RETRY_NANOS = 1_000_000_000;
  private static final long MAX_RETRY_NANOS = 60 * FIRST_RETRY_NANOS;
  private static final long MIN_RETRY_NANOS = 250_000_000;

  /** The snapshot file, the disk it is on, and the minimum time between two writes. */
  record Target(Path file, FileOperations files, long intervalNanos) {}

  private final Target target;
  private final Function<Callable<Void>, Future<Void>> worker;
  private final LongSupplier clockNanos;
  private final Consumer<String> log;
  private final Backoff backoff;
  private Snapshot pending;
  private boolean isWriting;
  private boolean hasStartedWrite;
  private long writeStartedAtNanos;
  private int failureCount;

  /**
   * Creates a writer; its first write starts in {@link #tick}.
   *
   * @param worker runs a write off the event loop
   * @param seed seed of the backoff's jitter
   */
  SnapshotWriter(
      Target target,
      Function<Callable<Void>, Future<Void>> worker,
      LongSupplier clockNanos,
      long seed,
      Consumer<String> log) {
    this.target = target;
    this.worker = worker;
    this.clockNanos = clockNanos;
    this.log = log;
    backoff = new Backoff(new SplittableRandom(seed), FIRST_RETRY_NANOS, MAX_RETRY_NANOS);
  }

  /**
   * Starts a write if one is due.
   *
   * @param currentView returns the current view; empty if the view must not be saved now, in which
   *     case only a pending snapshot is written
   */
  void tick(Supplier<Optional<Snapshot>> currentView) {
    long nowNanos = clockNanos.getAsLong();
    boolean isDue =
        backoff.isFailing()
            ? backoff.allows(nowNanos)
            : !hasStartedWrite || nowNanos - writeStartedAtNanos >= target.intervalNanos();
    if (isWriting || !isDue) {
      return;
    }
    pending = currentView.get().orElse(pending);
    if (pending != null) {
      startWrite(nowNanos, pending);
    }
  }

  private void startWrite(long nowNanos, Snapshot snapshot) {
    isWriting = true;
    hasStartedWrite = true;
    writeStartedAtNanos = nowNanos;
    worker
        .apply(
            () -> {
              SnapshotFile.write(target.file(), snapshot, target.files());
              return null;
            })
        .onComplete(
            result -> {
              isWriting = false;
              if (result.succeeded()) {
                writeSucceeded();
              } else {
                writeFailed(result.cause());
              }
            });
  }

  private void writeSucceeded() {
    pending = null;
    if (failureCount > 0) {
      log.accept("the snapshot is written again, after " + failureCount + " failed attempts");
    }
    failureCount = 0;
    backoff.reset();
  }

  private void writeFailed(Throwable cause) {
    if (failureCount++ == 0) {
      log.accept(
          "the snapshot " + target.file() + " can't be written, retrying: " + describe(cause));
    }
    backoff.recordFailure(clockNanos.getAsLong(), MIN_RETRY_NANOS);
  }

  private static String describe(Throwable cause) {
    return cause instanceof SnapshotException ? cause.getMessage() : cause.toString();
  }
}
