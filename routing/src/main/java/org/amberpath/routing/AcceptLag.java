package org.amberpath.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * How long connections may have waited in the kernel's accept queue, and their first requests with
 * them. An event loop that was late takes the queue in parts, so the last ones wait on while it is
 * late no more. Times are nanoseconds.
 *
 * <p>Bounded by the connections that are accepted in a few turns.
 *
 * @param <K> a connection
 */
public final class AcceptLag<K> {
  /** What one pass of the loop accepts at most; a turn that brought fewer has emptied the queue. */
  private static final int ACCEPTS_PER_PASS = 16;

  /** How long after it was accepted a connection's first bytes are read, at least. */
  private static final long FIRST_READ_NANOS = 20_000_000L;

  private static final long NONE = Long.MIN_VALUE;

  private Map<K, Long> recent = new HashMap<>();
  private Map<K, Long> earlier = new HashMap<>();
  private long backlogSince = NONE;
  private long rotatedAt;
  private int connectionAccepted;

  /**
   * A connection was accepted, by a loop that was so late just now or had not accepted for so long.
   */
  public void connectionAccepted(K connection, long now, long lag) {
    connectionAccepted++;
    if (lag > 0 && (backlogSince == NONE || now - lag < backlogSince)) {
      backlogSince = now - lag;
    }
    if (backlogSince != NONE) {
      recent.put(connection, backlogSince);
    }
  }

  /**
   * A turn of the loop has ended, in which it has accepted at least once where anything was there.
   */
  public void turnEnded(long now) {
    if (connectionAccepted < ACCEPTS_PER_PASS) {
      backlogSince = NONE;
    }
    connectionAccepted = 0;
    if (now - rotatedAt >= FIRST_READ_NANOS && !(recent.isEmpty() && earlier.isEmpty())) {
      rotatedAt = now;
      earlier = recent;
      recent = new HashMap<>();
    }
  }

  /**
   * How long what is read now from a connection may have waited with it; 0 where it was not
   * accepted late.
   */
  public long lagNanos(K connection, long now) {
    Long since = recent.containsKey(connection) ? recent.get(connection) : earlier.get(connection);
    return since == null ? 0 : now - since;
  }
}
