package org.amberpath.leadership;

/**
 * What all owners, candidates and voters agree on beforehand. Nanoseconds; no two clocks need to
 * agree, only to run at nearly the same speed.
 *
 * @param leaseNanos for how long a task is somebody's without a sign of life
 * @param settleNanos how long a new owner waits before it acts, so that what older ones began has
 *     run out: the longest act, and what a message may take that was sent in the last moment
 * @param driftPpm by how many millionths a clock may run fast or slow
 */
public record LeaseTimings(long leaseNanos, long settleNanos, int driftPpm) {
  private static final long MILLION = 1_000_000;

  /** Checks what the rules depend on. */
  public LeaseTimings {
    if (leaseNanos < MILLION || settleNanos < 0 || driftPpm < 0 || driftPpm > MILLION / 20) {
      throw new IllegalArgumentException(
          "lease " + leaseNanos + ", settle " + settleNanos + ", drift " + driftPpm);
    }
  }

  /** The longest that a time told by another clock may last by this one. */
  public long longestNanos(long time) {
    return time + time / MILLION * driftPpm * 2 + 1;
  }

  /** The shortest that it may last. */
  public long shortestNanos(long time) {
    return time - time / MILLION * driftPpm * 2 - 1;
  }
}
