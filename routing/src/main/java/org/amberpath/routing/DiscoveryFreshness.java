package org.amberpath.routing;

/**
 * Whether a gateway's knowledge of drains and purges is fresh enough to decide and to send by. An
 * event counts as notified when the journal has it, whether this gateway has read it or not; so a
 * gateway that was late, or has just started, reads first and decides then. Times are nanoseconds
 * of one monotonic clock; all calls come on the gateway's event loop.
 *
 * <p>Two things make the knowledge stale. The event loop was blocked: then the sockets are read
 * before anything is decided. A response was read late, or there was none since the start: then the
 * journal is polled once more without waiting for new events, and decisions wait for that response.
 * A journal that fails, breaks off or falls silent does not make this gateway late: decisions do
 * not wait for it. Source: docs/design.md, "Stale discovery".
 */
public final class DiscoveryFreshness {
  /** A delay in reading, in polling, and in deciding may each take this part of the grace. */
  private static final int GRACE_PARTS = 4;

  /** Late responses in a row after which decisions no longer wait for another one. */
  private static final int MAX_LATE_RESPONSES = 3;

  /** Failed polls in a row after which decisions no longer wait for another one. */
  private static final int MAX_FAILED_REQUESTS = 2;

  private final long maxDelayNanos;
  private long socketsReadAtNanos;
  private long requestSentAtNanos;
  private int lateResponses;
  private int failedRequests;
  private boolean awaitsResponse;

  /**
   * The state at a gateway's start: its configuration is as old as the start took.
   *
   * @param graceNanos the shortest time within which a drain or a purge must be heeded
   * @param pollsJournal whether a journal is polled; other sources notify unasked
   * @param nowNanos the time of the start
   */
  public DiscoveryFreshness(long graceNanos, boolean pollsJournal, long nowNanos) {
    maxDelayNanos = Math.max(1, graceNanos / GRACE_PARTS);
    awaitsResponse = pollsJournal;
    socketsReadAtNanos = nowNanos;
    requestSentAtNanos = nowNanos;
  }

  /** All that had arrived at this gateway's sockets by the given time has been read. */
  public void socketsRead(long byNanos) {
    socketsReadAtNanos = Math.max(socketsReadAtNanos, byNanos);
  }

  /** A poll for all events after the last known one was sent. */
  public void requestSent(long nowNanos) {
    boolean wasBlocked = nowNanos - socketsReadAtNanos > maxDelayNanos; // Since the last response.
    awaitsResponse |= wasBlocked && lateResponses < MAX_LATE_RESPONSES;
    requestSentAtNanos = nowNanos;
  }

  /**
   * The response to the poll was read: it holds all events from before the poll was sent, or from
   * before the sockets were last read.
   */
  public void responseReceived(long nowNanos) {
    failedRequests = 0;
    lateResponses = isLate(nowNanos) ? lateResponses + 1 : 0;
    awaitsResponse = lateResponses > 0 && lateResponses < MAX_LATE_RESPONSES;
  }

  /** The poll got no response, or none that can be decoded. */
  public void requestFailed(long nowNanos) {
    failedRequests++;
    boolean isStale = awaitsResponse || nowNanos - socketsReadAtNanos > maxDelayNanos;
    awaitsResponse = isStale && failedRequests < MAX_FAILED_REQUESTS;
  }

  private boolean isLate(long nowNanos) {
    return nowNanos - Math.max(socketsReadAtNanos, requestSentAtNanos) > maxDelayNanos;
  }

  /**
   * Whether the journal must be polled without waiting for new events. Guards against events that
   * the journal received while this gateway was late.
   */
  public boolean awaitsResponse() {
    return awaitsResponse;
  }

  /** Whether decisions may be made, and attempts sent, by what is known. */
  public boolean permitsDecisions(long nowNanos) {
    return !awaitsResponse && nowNanos - socketsReadAtNanos <= maxDelayNanos;
  }
}
