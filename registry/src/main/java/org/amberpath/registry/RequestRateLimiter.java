package org.amberpath.registry;

/**
 * Limits how many connections a session opens a second, so that a fleet that lost its registry does
 * not flood it when it comes back. A token bucket: {@value #CONNECTIONS_PER_SECOND} tokens at most,
 * as many are added a second. Times are nanoseconds.
 */
final class RequestRateLimiter {
  private static final int CONNECTIONS_PER_SECOND = 10;
  private static final long SECOND_NANOS = 1_000_000_000;

  private long tokens;
  private long refilledAtNanos;

  /** Fills the bucket. */
  void start(long nowNanos) {
    tokens = CONNECTIONS_PER_SECOND;
    refilledAtNanos = nowNanos;
  }

  /** Takes a token; false where there is none. */
  boolean tryAcquire(long nowNanos) {
    long earned = (nowNanos - refilledAtNanos) * CONNECTIONS_PER_SECOND / SECOND_NANOS;
    if (earned > 0) {
      tokens = Math.min(CONNECTIONS_PER_SECOND, tokens + earned);
      refilledAtNanos = nowNanos;
    }
    if (tokens == 0) {
      return false;
    }
    tokens--;
    return true;
  }
}
