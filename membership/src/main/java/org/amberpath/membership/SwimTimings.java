package org.amberpath.membership;

/**
 * The bounds and times of the protocol; the same in the whole fleet.
 *
 * @param maxMembers the most gateways that may run at once, 1 or more: up to so many, shared limits
 *     are divided by it, whatever is seen
 * @param probeIntervalNanos from one probe of a member to the next, 10 ms or more; the period in
 *     which the other times are counted
 * @param probeTimeoutNanos how long the answer to a probe may take before others are asked for
 *     help, 1 ms to a third of the interval
 * @param maxUpdatesPerMessage how many updates fit into one datagram, 4 or more
 */
public record SwimTimings(
    int maxMembers, long probeIntervalNanos, long probeTimeoutNanos, int maxUpdatesPerMessage) {
  private static final long MS_NANOS = 1_000_000;
  private static final long DEFAULT_INTERVAL_NANOS = 500 * MS_NANOS;
  private static final long MIN_INTERVAL_NANOS = 10 * MS_NANOS;
  private static final int TIMEOUTS_PER_INTERVAL = 3;
  private static final int MIN_UPDATES = 4;

  /** So many fit into a datagram with the longest names. */
  private static final int DEFAULT_UPDATES = 10;

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException where one is broken
   */
  public SwimTimings {
    if (maxMembers < 1
        || probeIntervalNanos < MIN_INTERVAL_NANOS
        || probeTimeoutNanos < MS_NANOS
        || TIMEOUTS_PER_INTERVAL * probeTimeoutNanos > probeIntervalNanos
        || maxUpdatesPerMessage < MIN_UPDATES) {
      throw new IllegalArgumentException(
          "at least 1 member, an interval of three timeouts and 10 ms at least, 4 updates");
    }
  }

  /** A probe each half second. */
  public static SwimTimings defaults(int maxMembers) {
    return withProbeInterval(maxMembers, DEFAULT_INTERVAL_NANOS);
  }

  /** Three tenths of the interval for an answer, and as many updates as fit. */
  public static SwimTimings withProbeInterval(int maxMembers, long probeIntervalNanos) {
    return new SwimTimings(
        maxMembers, probeIntervalNanos, probeIntervalNanos * 3 / 10, DEFAULT_UPDATES);
  }
}
