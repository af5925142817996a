package org.amberpath.routing;

/**
 * When a request must have its final answer: its client's allowance counts from the arrival of its
 * last byte, which is not known where the event loop was late. Times are nanoseconds.
 */
public final class RequestDeadline {
  /** Event loop lag that may remain in a request's time; clients tolerate 50 ms more. */
  private static final long MAX_REMAINING_LAG_NANOS = 100_000_000L;

  /** With no more time left no attempt is sent: it would outlast the request. */
  private static final long MIN_ATTEMPT_NANOS = 5_000_000L;

  private RequestDeadline() {}

  /**
   * The deadline of a request that was read now, after at most the lag in the socket: half of the
   * lag is subtracted, which is its mean wait, and of a long lag all but 0.1 s.
   */
  public static long of(long nowNanos, long lagNanos, long allowanceNanos) {
    return nowNanos - Math.max(lagNanos / 2, lagNanos - MAX_REMAINING_LAG_NANOS) + allowanceNanos;
  }

  /** Whether so little time is left that the request is rejected at once, without an attempt. */
  public static boolean isTooShort(long timeLeftNanos) {
    return timeLeftNanos <= MIN_ATTEMPT_NANOS;
  }
}
