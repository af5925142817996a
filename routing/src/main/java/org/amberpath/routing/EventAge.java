package org.amberpath.routing;

/**
 * The age of events that carry a Unix time, where the wall clock may step by seconds or an hour,
 * both ways, at any moment. The monotonic and the wall clock are read together, and their
 * difference, the offset, is followed. An event is taken for as young as it can be: a purge then
 * binds longer, and an endpoint that started counts as less warm (docs/design/clocks.md).
 *
 * <p>Three facts bound an age from above. The offset was at least once as small as the smallest one
 * seen since the start. The clock that stamps events was no earlier than the newest stamp received.
 * And an event that a reply brings did not exist when the reply before was made. Times are
 * nanoseconds, stamps Unix milliseconds; all calls come on the event loop.
 */
public final class EventAge {
  /** A larger change of the offset between two readings is a step; a smaller one is drift. */
  private static final long STEP_NANOS = 50_000_000L;

  /** How long discovery may hold an event back and its reply may be in flight, at most. */
  private static final long MAX_DELIVERY_NANOS = 10_000_000_000L;

  /** The age of the newest event received, at most: less than the grace of any purge. */
  private static final long MAX_NEWEST_AGE_NANOS = 200_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NONE = Long.MIN_VALUE;

  /** By how much the wall clock was ahead of the monotonic one when both were last read. */
  private long offsetNanos;

  /** The smallest offset seen, moved along with drift. */
  private long minOffsetNanos;

  /** The largest offset that follows from a stamp received, or {@link #NONE}. */
  private long newestStampOffsetNanos = NONE;

  private long previousReplyAtNanos = NONE;
  private long replyAtNanos = NONE;

  /** Whether the reply at hand came from discovery, not from what was known before the start. */
  private boolean isLiveReply;

  private boolean isCorrected;

  /** Reads both clocks for the first time. */
  public EventAge(long monotonicNanos, long wallMillis) {
    offsetNanos = wallMillis * NANOS_PER_MILLI - monotonicNanos;
    minOffsetNanos = offsetNanos;
  }

  /**
   * Reads both clocks; must be called often enough that drift between two calls stays far under a
   * step of 50 ms.
   */
  public void clocksRead(long monotonicNanos, long wallMillis) {
    long readOffsetNanos = wallMillis * NANOS_PER_MILLI - monotonicNanos;
    long changeNanos = readOffsetNanos - offsetNanos;
    if (Math.abs(changeNanos) <= STEP_NANOS) {
      minOffsetNanos += changeNanos;
      newestStampOffsetNanos += newestStampOffsetNanos == NONE ? 0 : changeNanos;
    }
    offsetNanos = readOffsetNanos;
    minOffsetNanos = Math.min(minOffsetNanos, offsetNanos);
  }

  /**
   * The events of a reply follow.
   *
   * @param isLive whether discovery sent it; false for what was known before the start
   * @param newestPurgeMillis the stamp of its newest purge; 0 for none
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

  /** All events of the reply have been passed on. */
  public void replyEnded() {
    isLiveReply = false;
  }

  /** The age of a purge, in nanoseconds, at most; never negative. */
  public long purgeAgeNanos(long monotonicNanos, long stampMillis) {
    long stampOffsetNanos = stampMillis * NANOS_PER_MILLI - monotonicNanos;
    long maxAgeNanos = monotonicNanos - previousReplyAtNanos + MAX_DELIVERY_NANOS;
    if (isLiveReply
        && previousReplyAtNanos != NONE
        && minOffsetNanos - stampOffsetNanos > maxAgeNanos) {
      // The stamping clock was set back, or this wall clock was ahead from the start.
      newestStampOffsetNanos =
          currentOffsetNanos() - stampOffsetNanos > maxAgeNanos
              ? stampOffsetNanos
              : newestStampOffsetNanos;
      minOffsetNanos = currentOffsetNanos();
      isCorrected = true;
    }
    return Math.max(0, currentOffsetNanos() - stampOffsetNanos);
  }

  /**
   * Whether the wall clock has turned out wrong since the last call: endpoints may have started
   * later than reported.
   */
  public boolean takeCorrection() {
    boolean wasCorrected = isCorrected;
    isCorrected = false;
    return wasCorrected;
  }

  /**
   * The time since an endpoint started, in nanoseconds, at most; never negative. For endpoints
   * known before the start it follows from the wall clock.
   */
  public long startAgeNanos(long monotonicNanos, long stampMillis) {
    long stampOffsetNanos = stampMillis * NANOS_PER_MILLI - monotonicNanos;
    if (isLiveReply) {
      newestStampOffsetNanos = Math.max(newestStampOffsetNanos, stampOffsetNanos);
    }
    return Math.max(0, (isLiveReply ? currentOffsetNanos() : minOffsetNanos) - stampOffsetNanos);
  }

  /** The smallest offset that the present time can have. */
  private long currentOffsetNanos() {
    return newestStampOffsetNanos == NONE
        ? minOffsetNanos
        : Math.min(minOffsetNanos, newestStampOffsetNanos + MAX_NEWEST_AGE_NANOS);
  }
}
