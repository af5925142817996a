package org.amberpath.gateway.client;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.amberpath.routing.ResponseBufferLimit;

/**
 * Counts the response bytes that are not yet written to sockets because clients read slowly or not
 * at all, and carries out the decisions of {@link ResponseBufferLimit}. Confined to one event loop.
 */
public final class WriteBufferAccounting {
  private final ResponseBufferLimit limit;
  private final LongSupplier clock;

  /**
   * The streams with unwritten bytes and the clock time at which each last made progress, the one
   * without progress for longest first.
   */
  private final Map<ResponseStream, Long> lastProgressNanos = new LinkedHashMap<>();

  private long totalBytes;

  /**
   * Creates the accounting of streams that have no unwritten bytes.
   *
   * @param clock monotonic time in nanoseconds
   */
  public WriteBufferAccounting(ResponseBufferLimit limit, LongSupplier clock) {
    this.limit = limit;
    this.clock = clock;
  }

  /**
   * Returns whether the body of a response may be written to a stream. Clients that have stopped
   * reading are disconnected if their memory is needed for it, the stream's own client among them.
   */
  boolean permitsBody(ResponseStream stream, long bodyBytes) {
    while (!limit.permitsBody(stream.unwrittenBytes, totalBytes, bodyBytes)) {
      if (!abortStalledConnection()) {
        return false;
      }
    }
    return true;
  }

  private boolean abortStalledConnection() {
    if (lastProgressNanos.isEmpty()) {
      return false;
    }
    Map.Entry<ResponseStream, Long> first = lastProgressNanos.entrySet().iterator().next();
    long stalledNanos = clock.getAsLong() - first.getValue();
    if (!limit.isStalled(stalledNanos)) {
      return false;
    }
    abort(first.getKey(), stalledNanos);
    return true;
  }

  /**
   * Adds bytes of memory that a response or its write takes. If all streams together exceed the
   * bound, the one without progress for longest is aborted.
   */
  void add(ResponseStream stream, long bytes) {
    totalBytes += bytes;
    stream.unwrittenBytes += bytes;
    lastProgressNanos.putIfAbsent(stream, clock.getAsLong());
    if (limit.isExceeded(totalBytes)) {
      Map.Entry<ResponseStream, Long> first = lastProgressNanos.entrySet().iterator().next();
      abort(first.getKey(), clock.getAsLong() - first.getValue());
    }
  }

  private void abort(ResponseStream stream, long stalledNanos) {
    stream.abort(
        "reads too slowly: "
            + stream.unwrittenBytes
            + " response bytes unwritten, none written for "
            + TimeUnit.NANOSECONDS.toMillis(stalledNanos)
            + " ms, of all clients "
            + totalBytes);
    // Closing fails the pending writes, which removes their bytes.
    lastProgressNanos.remove(stream);
  }

  /** Subtracts bytes of responses that have been written to the socket or dropped. */
  void remove(ResponseStream stream, long bytes) {
    totalBytes -= bytes;
    stream.unwrittenBytes -= bytes;
    lastProgressNanos.remove(stream);
    if (stream.unwrittenBytes > 0) {
      lastProgressNanos.put(stream, clock.getAsLong());
    }
  }
}
