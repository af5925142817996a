package org.amberpath.registry;

/**
 * Limits the rate of new connections of a session, so that a fleet that has lost its registry does
 * not flood it when it comes back. A token bucket of {@value #CONNECTIONS_PER_SECOND} tokens,
 * refilled at the same number per second. Times are nanoseconds.
 */
final class RequestRateLimiter {
  private static final int CONNECTIONS_PER_SECOND = 10;
  private static final long SECOND_NANOS = 1_000_000_000;

  private long tokens;
  private long refilledAtNanos;

  void start(long nowNanos) {
    tokens = CONNECTIONS_PER_SECOND;
    refilledAtNanos = nowNanos;
  }

  /** Takes a token; returns false if there is none. */
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
