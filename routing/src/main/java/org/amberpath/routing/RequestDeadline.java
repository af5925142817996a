package org.amberpath.routing;

/**
 * Computes the deadline of a request's final response. The client's timeout counts from the arrival
 * of the request's last byte, which is unknown if the event loop was late. Times are nanoseconds.
 */
public final class RequestDeadline {
  /**
   * The part of the event loop's lag by which a deadline may be too late; clients tolerate 50 ms
   * more.
   */
  private static final long MAX_UNSUBTRACTED_LAG_NANOS = 100_000_000L;

  /** With this much time left or less, no attempt is sent, since it would outlast the request. */
  private static final long MIN_ATTEMPT_NANOS = 5_000_000L;

  private RequestDeadline() {}

  /**
   * Returns the deadline of a request that is read now after it may have waited in the socket for
   * up to the lag. Half of the lag, which is the mean wait, is subtracted; of a lag above 0.2 s,
   * all but 0.1 s.
   *
   * @param clientTimeoutNanos how long the client waits from the arrival of the request's last byte
   */
  public static long of(long nowNanos, long lagNanos, long clientTimeoutNanos) {
    return nowNanos
        - Math.max(lagNanos / 2, lagNanos - MAX_UNSUBTRACTED_LAG_NANOS)
        + clientTimeoutNanos;
  }

  /** Whether the time left is so short that the request is rejected without an attempt. */
  public static boolean isTooShort(long timeLeftNanos) {
    return timeLeftNanos <= MIN_ATTEMPT_NANOS;
  }
}
