package org.amberpath.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks how long accepted connections, and their first requests with them, may have waited in the
 * kernel's accept queue. An event loop that was blocked accepts the queued connections over several
 * turns, so the last ones still carry a delay when the loop is on time again. Times are
 * nanoseconds.
 *
 * <p>Memory is bounded by the number of connections that are accepted in a few turns. All calls
 * come on the event loop.
 *
 * @param <K> identifies a connection
 */
public final class AcceptLag<K> {
  /**
   * Maximum number of connections that the event loop accepts in one pass; a turn with fewer has
   * emptied the queue.
   */
  private static final int MAX_ACCEPTS_PER_PASS = 16;

  /**
   * Minimum time for which an accepted connection is remembered; its first bytes are read within
   * it.
   */
  private static final long MIN_RETENTION_NANOS = 20_000_000L;

  private static final long NO_BACKLOG = Long.MIN_VALUE;

  private Map<K, Long> acceptedRecently = new HashMap<>();
  private Map<K, Long> acceptedEarlier = new HashMap<>();
  private long backlogSinceNanos = NO_BACKLOG;
  private long rotatedAtNanos;
  private int acceptedThisTurn;

  /**
   * Records an accepted connection.
   *
   * @param lagNanos the event loop's lag or the time for which accepting was paused, whichever is
   *     longer; 0 for none
   */
  public void connectionAccepted(K connection, long nowNanos, long lagNanos) {
    acceptedThisTurn++;
    if (lagNanos > 0
        && (backlogSinceNanos == NO_BACKLOG || nowNanos - lagNanos < backlogSinceNanos)) {
      backlogSinceNanos = nowNanos - lagNanos;
    }
    if (backlogSinceNanos != NO_BACKLOG) {
      acceptedRecently.put(connection, backlogSinceNanos);
    }
  }

  /**
   * Ends a turn of the event loop, in which the loop has accepted connections if any were queued.
   */
  public void turnEnded(long nowNanos) {
    if (acceptedThisTurn < MAX_ACCEPTS_PER_PASS) {
      backlogSinceNanos = NO_BACKLOG;
    }
    acceptedThisTurn = 0;
    if (nowNanos - rotatedAtNanos >= MIN_RETENTION_NANOS
        && !(acceptedRecently.isEmpty() && acceptedEarlier.isEmpty())) {
      rotatedAtNanos = nowNanos;
      acceptedEarlier = acceptedRecently;
      acceptedRecently = new HashMap<>();
    }
  }

  /**
   * Returns how long bytes that are read now may have waited with their connection, in nanoseconds;
   * 0 if the connection was not accepted late.
   */
  public long lagNanos(K connection, long nowNanos) {
    Long sinceNanos =
        acceptedRecently.containsKey(connection)
            ? acceptedRecently.get(connection)
            : acceptedEarlier.get(connection);
    return sinceNanos == null ? 0 : nowNanos - sinceNanos;
  }
}
