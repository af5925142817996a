package org.amberpath.membership;

/**
 * Limits the number of responses per probe interval, in total and per member. Guards against floods
 * of requests, which would otherwise be answered one for one.
 *
 * <p>Bounds: {@value #MAX_PER_PERIOD} responses per probe interval, {@value #MAX_PER_MEMBER} of
 * them to one member.
 */
final class ResponseRateLimiter {
  private static final int MAX_PER_PERIOD = 40;
  private static final int MAX_PER_MEMBER = 8;

  /** A fixed window that counts responses since its start. */
  static final class Window {
    private long startNanos;
    private int count;

    private void advance(long nowNanos, long periodNanos) {
      if (nowNanos - startNanos > periodNanos) {
        startNanos = nowNanos;
        count = 0;
      }
    }
  }

  private final long periodNanos;
  private final Window total = new Window();

  ResponseRateLimiter(long periodNanos, long nowNanos) {
    this.periodNanos = periodNanos;
    total.startNanos = nowNanos;
  }

  /** Begins a new window of the total limit if the current one has ended. */
  void advance(long nowNanos) {
    total.advance(nowNanos, periodNanos);
  }

  /** Counts one response to this member, and returns whether the limits permit it. */
  boolean tryAcquire(MemberEntry requester, long nowNanos) {
    requester.responseWindow.advance(nowNanos, periodNanos);
    return ++requester.responseWindow.count <= MAX_PER_MEMBER && ++total.count <= MAX_PER_PERIOD;
  }
}
