package org.amberpath.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * How long connections may have waited in the kernel's accept queue, and their first requests with
 * them. An event loop that was late accepts the queue in parts, so the last connections still wait
 * when it is on time again. Times are nanoseconds.
 *
 * <p>Bounded by the connections that are accepted in a few turns. All calls come on the event loop.
 *
 * @param <K> a connection
 */
public final class AcceptLag<K> {
  /** Accepts of one pass of the loop, at most; a turn with fewer has emptied the queue. */
  private static final int ACCEPTS_PER_PASS = 16;

  /** How long after it was accepted a connection's first bytes are read, at least. */
  private static final long FIRST_READ_NANOS = 20_000_000L;

  private static final long NONE = Long.MIN_VALUE;

  private Map<K, Long> acceptedRecently = new HashMap<>();
  private Map<K, Long> acceptedEarlier = new HashMap<>();
  private long backlogSinceNanos = NONE;
  private long rotatedAtNanos;
  private int acceptedThisTurn;

  /**
   * A connection was accepted, by a loop that was late by the lag or had not accepted for so long.
   */
  public void connectionAccepted(K connection, long nowNanos, long lagNanos) {
    acceptedThisTurn++;
    if (lagNanos > 0 && (backlogSinceNanos == NONE || nowNanos - lagNanos < backlogSinceNanos)) {
      backlogSinceNanos = nowNanos - lagNanos;
    }
    if (backlogSinceNanos != NONE) {
      acceptedRecently.put(connection, backlogSinceNanos);
    }
  }

  /** A turn of the loop has ended, in which it accepted if any connection was waiting. */
  public void turnEnded(long nowNanos) {
    if (acceptedThisTurn < ACCEPTS_PER_PASS) {
      backlogSinceNanos = NONE;
    }
    acceptedThisTurn = 0;
    if (nowNanos - rotatedAtNanos >= FIRST_READ_NANOS
        && !(acceptedRecently.isEmpty() && acceptedEarlier.isEmpty())) {
      rotatedAtNanos = nowNanos;
      acceptedEarlier = acceptedRecently;
      acceptedRecently = new HashMap<>();
    }
  }

  /**
   * How long bytes that are read now may have waited with their connection, in nanoseconds; 0 where
   * it was not accepted late.
   */
  public long lagNanos(K connection, long nowNanos) {
    Long sinceNanos =
        acceptedRecently.containsKey(connection)
            ? acceptedRecently.get(connection)
            : acceptedEarlier.get(connection);
    return sinceNanos == null ? 0 : nowNanos - sinceNanos;
  }
}
