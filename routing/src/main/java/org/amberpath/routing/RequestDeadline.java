package org.amberpath.routing;

/**
 * By when a request has its final answer: its client's allowance counts from when its last byte
 * came, which is not known where the event loop was late. Times are nanoseconds.
 */
public final class RequestDeadline {
  /** How much of an event loop lag may be left on a request's time; clients bear 50 ms more. */
  private static final long MAX_REMAINING_LAG_NANOS = 100_000_000L;

  /** With no more time than that left no attempt begins: it would outlive the request. */
  private static final long MIN_ATTEMPT_NANOS = 5_000_000L;

  private RequestDeadline() {}

  /**
   * The deadline of a request that was read now, and lay unread for the lag at most: half of that
   * is taken off, which is what it lost in the mean, and of a long lag all but what a client bears.
   */
  public static long of(long nowNanos, long lagNanos, long allowanceNanos) {
    return nowNanos - Math.max(lagNanos / 2, lagNanos - MAX_REMAINING_LAG_NANOS) + allowanceNanos;
  }

  /** Whether so little time is left that the request is answered at once, with no attempt. */
  public static boolean isTooShort(long timeLeftNanos) {
    return timeLeftNanos <= MIN_ATTEMPT_NANOS;
  }
}
