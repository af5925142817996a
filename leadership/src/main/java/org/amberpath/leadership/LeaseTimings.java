package org.amberpath.leadership;

/**
 * Timings that all leaders, candidates and voters of an installation agree on. Clocks need not show
 * the same time, only run at nearly the same speed.
 *
 * @param leaseNanos how long leadership lasts without a lease renewal
 * @param settleNanos how long a new leader waits before it acts, so that what former leaders began
 *     has ended: the longest action, and the longest that a message of the last moment travels
 * @param driftPpm by how many millionths a clock may run fast or slow
 */
public record LeaseTimings(long leaseNanos, long settleNanos, int driftPpm) {
  private static final long MILLION = 1_000_000;

  /**
   * Checks the bounds that the invariants depend on.
   *
   * @throws InvalidLeadershipConfigException.Timings if one is out of them
   */
  public LeaseTimings {
    if (leaseNanos < MILLION || settleNanos < 0 || driftPpm < 0 || driftPpm > MILLION / 20) {
      throw new InvalidLeadershipConfigException.Timings(
          "lease " + leaseNanos + ", settle " + settleNanos + ", drift " + driftPpm);
    }
  }

  /** The longest that a duration measured by another clock may last by this one. */
  public long longestNanos(long durationNanos) {
    return durationNanos + durationNanos / MILLION * driftPpm * 2 + 1;
  }

  /** The shortest that a duration measured by another clock may last by this one. */
  public long shortestNanos(long durationNanos) {
    return durationNanos - durationNanos / MILLION * driftPpm * 2 - 1;
  }
}
