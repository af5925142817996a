package org.amberpath.routing;

/**
 * Tracks whether a gateway's knowledge of drains and purges is recent enough to make decisions and
 * send attempts. An event counts as notified once the journal has it, whether this gateway has read
 * it or not; so a gateway that was late, or has just started, reads first and decides then. Times
 * are nanoseconds of one monotonic clock; all calls come on the gateway's event loop.
 *
 * <p>Two conditions make the knowledge stale. If the event loop was blocked, the sockets are read
 * before anything is decided. If a response was read late, or none was received since the start,
 * the journal is polled once more without waiting for new events, and decisions wait for that
 * response. A journal that fails, closes the connection or does not respond does not make this
 * gateway late: decisions do not wait for it. Source: docs/design.md, "Stale discovery".
 */
public final class DiscoveryFreshness {
  /**
   * A delay in reading, one in polling and one in deciding may each use up the grace divided by
   * this.
   */
  private static final int GRACE_DIVISOR = 4;

  /** Consecutive late responses after which decisions no longer wait for another one. */
  private static final int MAX_LATE_RESPONSES = 3;

  /** Consecutive failed polls after which decisions no longer wait for another one. */
  private static final int MAX_FAILED_REQUESTS = 2;

  private final long maxDelayNanos;
  private long socketsReadAtNanos;
  private long requestSentAtNanos;
  private int lateResponses;
  private int failedRequests;
  private boolean awaitsResponse;

  /**
   * Creates the state at a gateway's start, when its configuration is as old as the start took.
   *
   * @param graceNanos the shortest time within which a drain or a purge must take effect
   * @param pollsJournal whether a journal is polled; other sources push their events
   * @param nowNanos the time of the start
   */
  public DiscoveryFreshness(long graceNanos, boolean pollsJournal, long nowNanos) {
    maxDelayNanos = Math.max(1, graceNanos / GRACE_DIVISOR);
    awaitsResponse = pollsJournal;
    socketsReadAtNanos = nowNanos;
    requestSentAtNanos = nowNanos;
  }

  /**
   * Records that all data that had arrived at this gateway's sockets by the given time has been
   * read.
   */
  public void socketsRead(long readUntilNanos) {
    socketsReadAtNanos = Math.max(socketsReadAtNanos, readUntilNanos);
  }

  /** Records that a poll for all events after the last known one was sent. */
  public void requestSent(long nowNanos) {
    // True if the event loop was blocked since the last response.
    boolean wasBlocked = nowNanos - socketsReadAtNanos > maxDelayNanos;
    awaitsResponse |= wasBlocked && lateResponses < MAX_LATE_RESPONSES;
    requestSentAtNanos = nowNanos;
  }

  /**
   * Records that the response to the poll was read: it contains all events from before the poll was
   * sent, or from before the sockets were last read.
   */
  public void responseReceived(long nowNanos) {
    failedRequests = 0;
    lateResponses = isLate(nowNanos) ? lateResponses + 1 : 0;
    awaitsResponse = lateResponses > 0 && lateResponses < MAX_LATE_RESPONSES;
  }

  /** Records that the poll received no response, or none that can be decoded. */
  public void requestFailed(long nowNanos) {
    failedRequests++;
    boolean isStale = awaitsResponse || nowNanos - socketsReadAtNanos > maxDelayNanos;
    awaitsResponse = isStale && failedRequests < MAX_FAILED_REQUESTS;
  }

  private boolean isLate(long nowNanos) {
    return nowNanos - Math.max(socketsReadAtNanos, requestSentAtNanos) > maxDelayNanos;
  }

  /**
   * Whether the journal must be polled without waiting for new events. Guards against missing
   * events that the journal received while this gateway was late.
   */
  public boolean awaitsResponse() {
    return awaitsResponse;
  }

  /** Whether the knowledge is recent enough to make decisions and send attempts. */
  public boolean permitsDecisions(long nowNanos) {
    return !awaitsResponse && nowNanos - socketsReadAtNanos <= maxDelayNanos;
  }
}
