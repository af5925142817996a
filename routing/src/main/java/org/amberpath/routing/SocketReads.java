package org.amberpath.routing;

/**
 * Whether the sockets have been read recently enough to begin an attempt. Guards against attempts
 * for clients that have closed or cancelled: that is known only once all bytes before it are read.
 * Told when the sockets were read and when requests came; times are nanoseconds of one clock.
 */
public final class SocketReads {
  /**
   * How old the last reading may be where an attempt begins: half of what a close may wait unread.
   */
  private static final long FRESH_NANOS = 50_000_000L;

  /**
   * From that lag on what is read has to be read on, since a close may have lain behind it for
   * long.
   */
  private static final long SETTLED_LAG_NANOS = 25_000_000L;

  /**
   * How long a connection is read on while it brings more; what a client may have open is read by
   * then.
   */
  private static final long LONGEST_SETTLING_NANOS = 50_000_000L;

  /** What lay unread at a connection: since when at most, and when the first of it was read. */
  public record Backlog(long sinceNanos, long foundAtNanos) {
    /** Whether what is read now may be the rest of it. */
    public boolean mayContinue(long now) {
      return now - foundAtNanos <= LONGEST_SETTLING_NANOS;
    }
  }

  private long readAt;

  /** Sockets that are read from now on. */
  public SocketReads(long now) {
    readAt = now;
  }

  /** By now all is read that lay at the sockets by that time, one reading each. */
  public void socketsRead(long by) {
    readAt = Math.max(readAt, by);
  }

  /** Whether an attempt may begin by what is known of clients. */
  public boolean isFresh(long now) {
    return now - readAt <= FRESH_NANOS;
  }

  /** Whether a request that was read after such a lag waits until its connection is settled. */
  public static boolean mustSettle(long lag) {
    return lag >= SETTLED_LAG_NANOS;
  }

  /**
   * Whether a connection was read once more after its last request, or for long after the request
   * in question.
   */
  public boolean isSettled(long takenAt, long lastTakenAt) {
    return readAt >= lastTakenAt || readAt - takenAt > LONGEST_SETTLING_NANOS;
  }
}
