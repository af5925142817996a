package org.amberpath.membership;

/**
 * The configured bounds and times of the protocol, which must be the same in the complete fleet.
 *
 * @param maxMembers the maximum number of gateways that run at once, 1 or more; fleet-wide limits
 *     are divided by at least this number, even if fewer members are known
 * @param probeIntervalNanos the time between two probes of this member, 10 ms or more; the unit of
 *     the protocol's other times (the probe interval is also called the period)
 * @param probeTimeoutNanos the time after which an unanswered direct probe is followed by indirect
 *     probes, 1 ms to a third of the probe interval
 * @param maxUpdatesPerMessage the maximum number of updates in one datagram, 4 or more
 */
public record SwimTimings(
    int maxMembers, long probeIntervalNanos, long probeTimeoutNanos, int maxUpdatesPerMessage) {
  private static final long MS_NANOS = 1_000_000;
  private static final long DEFAULT_INTERVAL_NANOS = 500 * MS_NANOS;
  private static final long MIN_INTERVAL_NANOS = 10 * MS_NANOS;
  private static final int TIMEOUTS_PER_INTERVAL = 3;
  private static final int MIN_UPDATES = 4;

  /** The number of updates that fit into one datagram with the longest names. */
  private static final int DEFAULT_UPDATES = 10;

  /**
   * Validates the bounds.
   *
   * @throws IllegalArgumentException if a value is out of its bounds
   */
  public SwimTimings {
    if (maxMembers < 1
        || probeIntervalNanos < MIN_INTERVAL_NANOS
        || probeTimeoutNanos < MS_NANOS
        || TIMEOUTS_PER_INTERVAL * probeTimeoutNanos > probeIntervalNanos
        || maxUpdatesPerMessage < MIN_UPDATES) {
      throw new IllegalArgumentException(
          "membership timings out of bounds: maxMembers="
              + maxMembers
              + " (at least 1), probeIntervalNanos="
              + probeIntervalNanos
              + " (at least "
              + MIN_INTERVAL_NANOS
              + "), probeTimeoutNanos="
              + probeTimeoutNanos
              + " (at least "
              + MS_NANOS
              + ", at most a third of the interval), maxUpdatesPerMessage="
              + maxUpdatesPerMessage
              + " (at least "
              + MIN_UPDATES
              + ")");
    }
  }

  /** Returns timings with a probe interval of half a second. */
  public static SwimTimings defaults(int maxMembers) {
    return withProbeInterval(maxMembers, DEFAULT_INTERVAL_NANOS);
  }

  /**
   * Returns timings with a probe timeout of three tenths of the interval and as many updates per
   * message as fit into a datagram.
   */
  public static SwimTimings withProbeInterval(int maxMembers, long probeIntervalNanos) {
    return new SwimTimings(
        maxMembers, probeIntervalNanos, probeIntervalNanos * 3 / 10, DEFAULT_UPDATES);
  }
}
