package org.amberpath.planning;

import org.amberpath.leadership.LeaseTimings;

/**
 * What planners and forwarders of an installation agree on beforehand. Nanoseconds; no two clocks
 * need to agree, only to run at nearly the same speed.
 *
 * @param grantTime how long a share above the usual part holds, from when the forwarder asked for
 *     it
 * @param holdTime how long a share below the usual part is kept to, from then; longer, so that who
 *     gives outlasts who takes
 * @param driftPpm by how many millionths a clock may run fast or slow
 * @param thin the least share, as a part of the usual one; what a forwarder that has just started
 *     keeps to
 */
public record QuotaTimings(long grantTime, long holdTime, int driftPpm, double thin) {
  private static final long MILLION = 1_000_000;

  /** Checks what the rules depend on. */
  public QuotaTimings {
    if (grantTime <= 0
        || holdTime < 2 * grantTime
        || driftPpm < 0
        || driftPpm > MILLION / 10
        || !(thin > 0)
        || thin > 1) {
      throw new IllegalArgumentException(
          "grant " + grantTime + ", hold " + holdTime + ", drift " + driftPpm + ", thin " + thin);
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
  public LeaseTimings leading(long lease) {
    return new LeaseTimings(lease, grantTime, driftPpm);
  }
}
