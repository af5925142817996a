package org.amberpath.leadership;

/**
 * Timings that all leaders, candidates and voters of an installation agree on. Clocks need not be
 * synchronized, but must run at nearly the same rate.
 *
 * @param leaseNanos how long leadership lasts without a lease renewal
 * @param settleNanos how long a new leader waits before it acts, so that the actions of former
 *     leaders have ended: the longest duration of an action plus the longest travel time of a
 *     message
 * @param driftPpm the maximum drift of a clock in parts per million, fast or slow
 */
public record LeaseTimings(long leaseNanos, long settleNanos, int driftPpm) {
  private static final long MILLION = 1_000_000;

  /**
   * Checks the bounds that the invariants depend on.
   *
   * @throws InvalidLeadershipConfigException.Timings if a timing is out of its bounds
   */
  public LeaseTimings {
    if (leaseNanos < MILLION || settleNanos < 0 || driftPpm < 0 || driftPpm > MILLION / 20) {
      throw new InvalidLeadershipConfigException.Timings(
          "lease timings out of bounds: lease "
              + leaseNanos
              + " ns (at least "
              + MILLION
              + "), settle "
              + settleNanos
              + " ns (at least 0), clock drift "
              + driftPpm
              + " ppm (0 to "
              + MILLION / 20
              + ")");
    }
  }

  /** Returns the longest time by this clock that a duration measured by another clock may take. */
  public long longestNanos(long durationNanos) {
    return durationNanos + durationNanos / MILLION * driftPpm * 2 + 1;
  }

  /** Returns the shortest time by this clock that a duration measured by another clock may take. */
  public long shortestNanos(long durationNanos) {
    return durationNanos - durationNanos / MILLION * driftPpm * 2 - 1;
  }
}
