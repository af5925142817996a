package org.amberpath.routing;

/**
 * Decides how much input of one client is handled in one turn of the event loop. Guards against a
 * client that sends small messages at full speed: without a bound, the event loop would handle a
 * megabyte of them, tens of thousands of messages, before it serves any other client. Bodies are
 * cheap to read, so they are bounded by bytes alone.
 */
public final class ReadBudget {
  /** Length in bytes of the largest single read. */
  public static final int MAX_READ_BYTES = 16_384;

  /** Reads in one turn of the event loop, unless the messages of the turn are used up earlier. */
  public static final int MAX_READS_PER_TURN = 16;

  /** Twice the requests that a client may have in flight: as many requests and cancellations. */
  private static final int MAX_MESSAGES_PER_TURN = 64;

  /**
   * Length in bytes of the largest single read of a client that used up its last turn; a few dozen
   * messages of the least length.
   */
  private static final int MAX_READ_BYTES_AFTER_BURST = 512;

  private int messages;
  private long messageCount;
  private boolean lastTurnExhausted;
  private boolean lastReadFilled;
  private long lastReadNanos;

  /** Records that another turn reads from the client. */
  public void turnStarted() {
    lastTurnExhausted = isExhausted();
    messages = 0;
  }

  /** Records that a complete message of the client was handled. */
  public void messageHandled() {
    messages++;
    messageCount++;
  }

  /**
   * Records that a turn has read from the client for the last time.
   *
   * @param filled whether the last read got as many bytes as it asked for
   */
  public void turnEnded(boolean filled, long nowNanos) {
    lastReadFilled = filled;
    lastReadNanos = nowNanos;
  }

  /** Returns whether the last turn may have left bytes unread that had arrived before. */
  boolean mayHaveUnreadInput() {
    return lastReadFilled;
  }

  /** Returns the time of the last turn that has read from the client, in nanoseconds. */
  long lastReadNanos() {
    return lastReadNanos;
  }

  /** Returns the number of messages of the client that were handled. */
  public long messageCount() {
    return messageCount;
  }

  /** Returns whether the client has to wait for the next turn. */
  public boolean isExhausted() {
    return messages >= MAX_MESSAGES_PER_TURN;
  }

  /** Returns the maximum length of the next read in bytes. */
  public int maxReadBytes() {
    return lastTurnExhausted ? MAX_READ_BYTES_AFTER_BURST : MAX_READ_BYTES;
  }
}
