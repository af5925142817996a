package org.amberpath.planning;

import org.amberpath.leadership.LeaseTimings;

/**
 * What planners and forwarders of an installation agree on beforehand. Nanoseconds; no two clocks
 * need to agree, only to run at nearly the same speed.
 *
 * @param grantNanos how long a share above the usual part holds, from when the forwarder asked for
 *     it
 * @param holdNanos how long a share below the usual part is kept to, from then; longer, so that who
 *     gives outlasts who takes
 * @param driftPpm by how many millionths a clock may run fast or slow
 * @param minimumFraction the least share, as a part of the usual one; what a forwarder that has
 *     just started keeps to
 */
public record QuotaTimings(long grantNanos, long holdNanos, int driftPpm, double minimumFraction) {
  private static final long MILLION = 1_000_000;

  /** Checks what the rules depend on. */
  public QuotaTimings {
    if (grantNanos <= 0
        || holdNanos < 2 * grantNanos
        || driftPpm < 0
        || driftPpm > MILLION / 10
        || !(minimumFraction > 0)
        || minimumFraction > 1) {
      throw new IllegalArgumentException(
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

  /** The longest that a time told by another clock may last by this one. */
  long longest(long time) {
    return time + time / MILLION * driftPpm * 2 + 1;
  }

  /** The shortest that it may last. */
  long shortest(long time) {
    return time - time / MILLION * driftPpm * 2 - 1;
  }

  /** By what planners lead: a new one waits until what older ones granted has run out. */
  public LeaseTimings leaseTimings(long lease) {
    return new LeaseTimings(lease, grantNanos, driftPpm);
  }
}
