package org.amberpath.planning;

import org.amberpath.leadership.LeaseTimings;

/**
 * Timings that all leaders and members of an installation agree on. Clocks need not be
 * synchronized, but must run at nearly the same rate.
 *
 * @param grantNanos how long a share above the usual one may be used, from when it was requested
 * @param holdNanos how long a member keeps to a share below the usual one, from when it was
 *     requested; at least twice {@code grantNanos}, so that a lowered share outlasts the raised
 *     shares that it made room for
 * @param driftPpm the maximum drift of a clock in parts per million, fast or slow
 * @param minimumFraction the minimum share as a fraction of the usual one; a member that has just
 *     started keeps to the minimum share
 */
public record QuotaTimings(long grantNanos, long holdNanos, int driftPpm, double minimumFraction) {
  private static final long MILLION = 1_000_000;

  /**
   * Checks the bounds that the invariants depend on.
   *
   * @throws InvalidQuotaTimingsException if a timing is out of its bounds
   */
  public QuotaTimings {
    if (grantNanos <= 0
        || holdNanos < 2 * grantNanos
        || driftPpm < 0
        || driftPpm > MILLION / 10
        || !(minimumFraction > 0)
        || minimumFraction > 1) {
      throw new InvalidQuotaTimingsException(
          "quota timings out of bounds: grant "
              + grantNanos
              + " ns (above 0), hold "
              + holdNanos
              + " ns (at least twice grant), clock drift "
              + driftPpm
              + " ppm (0 to "
              + MILLION / 10
              + "), minimum fraction "
              + minimumFraction
              + " (above 0, at most 1)");
    }
  }

  /** Returns the longest time by this clock that a duration measured by another clock may take. */
  long longestNanos(long durationNanos) {
    return durationNanos + durationNanos / MILLION * driftPpm * 2 + 1;
  }

  /** Returns the shortest time by this clock that a duration measured by another clock may take. */
  long shortestNanos(long durationNanos) {
    return durationNanos - durationNanos / MILLION * driftPpm * 2 - 1;
  }

  /**
   * Returns the timings of the leader's lease, by which a new leader waits until the grants of
   * former leaders have expired.
   */
  public LeaseTimings leaseTimings(long leaseNanos) {
    return new LeaseTimings(leaseNanos, grantNanos, driftPpm);
  }
}
