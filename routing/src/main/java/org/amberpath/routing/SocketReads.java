package org.amberpath.routing;

/**
 * Tracks whether the sockets have been read recently enough to send an attempt. Guards against
 * attempts for clients that have disconnected or cancelled, which is known only once all bytes that
 * arrived earlier have been read. Times are nanoseconds of one monotonic clock; all calls come on
 * the event loop.
 */
public final class SocketReads {
  /**
   * Maximum age of the last read when an attempt is sent: half of the time for which a close may
   * stay unread.
   */
  private static final long MAX_READ_AGE_NANOS = 50_000_000L;

  /**
   * Event loop lag from which a connection is read again after its requests, since a close may be
   * queued behind them.
   */
  private static final long MIN_REREAD_LAG_NANOS = 25_000_000L;

  /**
   * Maximum time for which a connection that sends more is read again; by then all requests that a
   * client may have open have been read.
   */
  private static final long MAX_REREAD_NANOS = 50_000_000L;

  /**
   * Messages behind a request after which its client is not read any further first: as many
   * requests as it may have open, and as many cancellations.
   */
  private static final int MAX_MESSAGES_BEHIND = 64;

  /**
   * Bytes that were queued unread at a connection while the event loop was late.
   *
   * @param sinceNanos earliest time at which they may have arrived
   * @param firstReadAtNanos time at which the first of them were read
   */
  public record Backlog(long sinceNanos, long firstReadAtNanos) {
    /** Whether bytes that are read now may belong to the backlog. */
    public boolean mayContinue(long nowNanos) {
      return nowNanos - firstReadAtNanos <= MAX_REREAD_NANOS;
    }
  }

  private long readAtNanos;

  /** Creates the state at a time at which all sockets have been read. */
  public SocketReads(long nowNanos) {
    readAtNanos = nowNanos;
  }

  /**
   * Records that all bytes that had arrived by the given time have been read, by one read of each
   * socket.
   */
  public void socketsRead(long readUntilNanos) {
    readAtNanos = Math.max(readAtNanos, readUntilNanos);
  }

  /** Whether the clients' sockets were read recently enough to send an attempt. */
  public boolean isFresh(long nowNanos) {
    return nowNanos - readAtNanos <= MAX_READ_AGE_NANOS;
  }

  /**
   * Whether a request that was read after the given lag must wait until its connection is settled,
   * that is, has been read again.
   */
  public static boolean mustBeReread(long lagNanos) {
    return lagNanos >= MIN_REREAD_LAG_NANOS;
  }

  /**
   * Whether a close or a cancellation may be queued unread behind a request: the last turn left
   * input of its client unread, and the client is not one that sends without end.
   *
   * @param input what was read from the client
   * @param messageNumber the number of the client's messages up to the request
   */
  public boolean hasInputBehind(ReadBudget input, long messageNumber) {
    return input.mayHaveUnreadInput()
        && readAtNanos < input.lastReadNanos()
        && input.messageCount() - messageNumber <= MAX_MESSAGES_BEHIND;
  }

  /**
   * Whether a connection has been read again since its last request, or for the maximum time since
   * the request in question.
   *
   * @param receivedAtNanos when the request in question was read
   * @param lastReceivedAtNanos when the last request of the connection was read
   */
  public boolean wasReread(long receivedAtNanos, long lastReceivedAtNanos) {
    return readAtNanos >= lastReceivedAtNanos || readAtNanos - receivedAtNanos > MAX_REREAD_NANOS;
  }
}
