package org.amberpath.routing;

/**
 * Whether the sockets have been read recently enough to begin an attempt. Guards against attempts
 * for clients that have disconnected or cancelled, which is known only once all bytes before that
 * are read. Times are nanoseconds of one monotonic clock; all calls come on the event loop.
 */
public final class SocketReads {
  /**
   * The age of the last read, at most, when an attempt is sent: half of the time that a close may
   * stay unread.
   */
  private static final long MAX_READ_AGE_NANOS = 50_000_000L;

  /**
   * From this lag on a connection is read again after its requests, since a close may have waited
   * behind them.
   */
  private static final long MIN_SETTLING_LAG_NANOS = 25_000_000L;

  /**
   * How long a connection that sends more is read again; all requests that a client may have open
   * are read by then.
   */
  private static final long MAX_SETTLING_NANOS = 50_000_000L;

  /**
   * Bytes that waited unread at a connection.
   *
   * @param sinceNanos since when, at the earliest
   * @param foundAtNanos when the first of them were read
   */
  public record Backlog(long sinceNanos, long foundAtNanos) {
    /** Whether bytes that are read now may belong to it. */
    public boolean mayContinue(long nowNanos) {
      return nowNanos - foundAtNanos <= MAX_SETTLING_NANOS;
    }
  }

  private long readAtNanos;

  /** The state at a time at which all sockets were read. */
  public SocketReads(long nowNanos) {
    readAtNanos = nowNanos;
  }

  /** All bytes that had arrived by that time have been read, by one read of each socket. */
  public void socketsRead(long readUntilNanos) {
    readAtNanos = Math.max(readAtNanos, readUntilNanos);
  }

  /** Whether an attempt may be sent by what is known of the clients. */
  public boolean isFresh(long nowNanos) {
    return nowNanos - readAtNanos <= MAX_READ_AGE_NANOS;
  }

  /** Whether a request that was read after such a lag must wait until its connection is settled. */
  public static boolean mustSettle(long lagNanos) {
    return lagNanos >= MIN_SETTLING_LAG_NANOS;
  }

  /**
   * Whether a connection was read again after its last request, or for the maximum time after the
   * request in question.
   */
  public boolean isSettled(long receivedAtNanos, long lastReceivedAtNanos) {
    return readAtNanos >= lastReceivedAtNanos || readAtNanos - receivedAtNanos > MAX_SETTLING_NANOS;
  }
}
