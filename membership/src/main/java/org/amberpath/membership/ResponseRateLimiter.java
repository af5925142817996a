package org.amberpath.membership;

/**
 * Bounds the answers a period, to all members and to each. Guards against floods of requests.
 *
 * <p>Bounds: {@value #MAX_PER_PERIOD} answers a period, {@value #MAX_PER_MEMBER} of them to one
 * member.
 */
final class ResponseRateLimiter {
  private static final int MAX_PER_PERIOD = 40;
  private static final int MAX_PER_MEMBER = 8;

  /** What was answered since the present period began. */
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

  /** Begins a new period for all members if the last one is over. */
  void advance(long nowNanos) {
    total.advance(nowNanos, periodNanos);
  }

  /** Takes one answer to this member, if it may have one. */
  boolean tryAcquire(MemberEntry requester, long nowNanos) {
    requester.responses.advance(nowNanos, periodNanos);
    return ++requester.responses.count <= MAX_PER_MEMBER && ++total.count <= MAX_PER_PERIOD;
  }
}
