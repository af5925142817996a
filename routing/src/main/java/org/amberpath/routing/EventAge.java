package org.amberpath.routing;

/**
 * Estimates the age of events that carry a Unix timestamp, while the wall clock may step by seconds
 * or by an hour, in both directions, at any time. The monotonic and the wall clock are read
 * together, and the difference between them, the offset, is tracked. An event is assumed to be as
 * young as possible: a purge then applies longer, and an endpoint that started counts as less warm
 * (docs/design/clocks.md).
 *
 * <p>Three facts bound an age from above. The offset was at some time as small as the smallest one
 * seen since the start. The clock that stamps events was no earlier than the newest timestamp
 * received. An event in a reply did not exist when the previous reply was made. Times are
 * nanoseconds, timestamps Unix milliseconds; all calls come on the event loop.
 */
public final class EventAge {
  /**
   * A change of the offset between two readings that exceeds this is a step; a smaller one is
   * drift.
   */
  private static final long STEP_NANOS = 50_000_000L;

  /** Maximum time for which discovery may hold an event back and its reply may be in flight. */
  private static final long MAX_DELIVERY_NANOS = 10_000_000_000L;

  /** Assumed maximum age of the newest event received; shorter than the grace of any purge. */
  private static final long MAX_NEWEST_AGE_NANOS = 200_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long UNKNOWN = Long.MIN_VALUE;

  /** Wall clock minus monotonic clock when both were last read. */
  private long offsetNanos;

  /** Smallest offset seen, adjusted for drift. */
  private long minOffsetNanos;

  /** Largest offset that follows from a received timestamp, or {@link #UNKNOWN}. */
  private long newestStampOffsetNanos = UNKNOWN;

  private long previousReplyAtNanos = UNKNOWN;
  private long replyAtNanos = UNKNOWN;

  /**
   * Whether the current reply came from discovery rather than from state that was stored before the
   * start.
   */
  private boolean isLiveReply;

  private boolean isCorrected;

  /** Creates an estimator from the first reading of both clocks. */
  public EventAge(long monotonicNanos, long wallMillis) {
    offsetNanos = wallMillis * NANOS_PER_MILLI - monotonicNanos;
    minOffsetNanos = offsetNanos;
  }

  /**
   * Records a reading of both clocks. Must be called often enough that the drift between two calls
   * stays far below the step threshold of 50 ms.
   */
  public void clocksRead(long monotonicNanos, long wallMillis) {
    long newOffsetNanos = wallMillis * NANOS_PER_MILLI - monotonicNanos;
    long changeNanos = newOffsetNanos - offsetNanos;
    if (Math.abs(changeNanos) <= STEP_NANOS) {
      minOffsetNanos += changeNanos;
      newestStampOffsetNanos += newestStampOffsetNanos == UNKNOWN ? 0 : changeNanos;
    }
    offsetNanos = newOffsetNanos;
    minOffsetNanos = Math.min(minOffsetNanos, offsetNanos);
  }

  /**
   * Begins a reply; its events follow.
   *
   * @param isLive whether discovery sent the reply; false for state from before the start
   * @param newestPurgeMillis the timestamp of the reply's newest purge; 0 for none
   */
  public void replyStarted(long monotonicNanos, boolean isLive, long newestPurgeMillis) {
    isLiveReply = isLive;
    if (isLive) {
      previousReplyAtNanos = replyAtNanos;
      replyAtNanos = monotonicNanos;
    }
    if (newestPurgeMillis > 0) {
      newestStampOffsetNanos =
          Math.max(newestStampOffsetNanos, newestPurgeMillis * NANOS_PER_MILLI - monotonicNanos);
    }
  }

  /** Ends the reply: all of its events have been processed. */
  public void replyEnded() {
    isLiveReply = false;
  }

  /** Returns the smallest upper bound of a purge's age, in nanoseconds; never negative. */
  public long purgeAgeNanos(long monotonicNanos, long stampMillis) {
    long stampOffsetNanos = stampMillis * NANOS_PER_MILLI - monotonicNanos;
    long maxAgeNanos = monotonicNanos - previousReplyAtNanos + MAX_DELIVERY_NANOS;
    if (isLiveReply
        && previousReplyAtNanos != UNKNOWN
        && minOffsetNanos - stampOffsetNanos > maxAgeNanos) {
      // The clock that stamps events was set back, or this wall clock was ahead from the start.
      newestStampOffsetNanos =
          minCurrentOffsetNanos() - stampOffsetNanos > maxAgeNanos
              ? stampOffsetNanos
              : newestStampOffsetNanos;
      minOffsetNanos = minCurrentOffsetNanos();
      isCorrected = true;
    }
    return Math.max(0, minCurrentOffsetNanos() - stampOffsetNanos);
  }

  /**
   * Returns whether the offset was corrected since the last call, and clears the flag. After a
   * correction endpoints may have started later than {@link #startAgeNanos} returned.
   */
  public boolean pollCorrection() {
    boolean wasCorrected = isCorrected;
    isCorrected = false;
    return wasCorrected;
  }

  /**
   * Returns the smallest upper bound of the time since an endpoint started, in nanoseconds; never
   * negative. For endpoints known from before the start it follows from the wall clock alone.
   */
  public long startAgeNanos(long monotonicNanos, long stampMillis) {
    long stampOffsetNanos = stampMillis * NANOS_PER_MILLI - monotonicNanos;
    if (isLiveReply) {
      newestStampOffsetNanos = Math.max(newestStampOffsetNanos, stampOffsetNanos);
    }
    return Math.max(0, (isLiveReply ? minCurrentOffsetNanos() : minOffsetNanos) - stampOffsetNanos);
  }

  /** Returns the smallest offset that is possible now. */
  private long minCurrentOffsetNanos() {
    return newestStampOffsetNanos == UNKNOWN
        ? minOffsetNanos
        : Math.min(minOffsetNanos, newestStampOffsetNanos + MAX_NEWEST_AGE_NANOS);
  }
}
