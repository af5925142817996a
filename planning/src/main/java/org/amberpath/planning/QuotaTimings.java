package org.amberpath.planning;

import org.amberpath.leadership.LeaseTimings;

/**
 * Timings that all leaders and members of an installation agree on. Clocks need not show the same
 * time, only run at nearly the same speed.
 *
 * @param grantNanos how long a share above the usual one holds, from when it was requested
 * @param holdNanos how long a share below the usual one is kept to, from then; longer, so that who
 *     gives outlasts who takes
 * @param driftPpm by how many millionths a clock may run fast or slow
 * @param minimumFraction the least share, as a part of the usual one; a member that has just
 *     started keeps to it
 */
public record QuotaTimings(long grantNanos, long holdNanos, int driftPpm, double minimumFraction) {
  private static final long MILLION = 1_000_000;

  /**
   * Checks the bounds that the invariants depend on.
   *
   * @throws InvalidQuotaTimingsException if one is out of them
   */
  public QuotaTimings {
    if (grantNanos <= 0
        || holdNanos < 2 * grantNanos
        || driftPpm < 0
        || driftPpm > MILLION / 10
        || !(minimumFraction > 0)
        || minimumFraction > 1) {
      throw new InvalidQuotaTimingsException(
          "grant "
              + grantNanos
              + ", hold "
              + holdNanos
              + ", drift "
              + driftPpm
              + ", thin "
              + minimumFraction);
    }
  }

  /** The longest that a duration measured by another clock may last by this one. */
  long longestNanos(long durationNanos) {
    return durationNanos + durationNanos / MILLION * driftPpm * 2 + 1;
  }

  /** The shortest that a duration measured by another clock may last by this one. */
  long shortestNanos(long durationNanos) {
    return durationNanos - durationNanos / MILLION * driftPpm * 2 - 1;
  }

  /** The leader's lease: a new leader waits until what former ones granted has expired. */
  public LeaseTimings leaseTimings(long leaseNanos) {
    return new LeaseTimings(leaseNanos, grantNanos, driftPpm);
  }
}
