package org.amberpath.membership;

/**
 * What the operators may set of a fleet's view. Times are nanoseconds.
 *
 * @param maxMembers the most gateways that may run at once: up to so many, bounds are divided by it
 *     whatever is seen
 * @param probeIntervalNanos between two probes of one gateway
 * @param probeTimeoutNanos how long the answer to a probe may take, before others are asked to try
 * @param maxUpdatesPerMessage how many fit into one datagram
 */
public record SwimTimings(
    int maxMembers, long probeIntervalNanos, long probeTimeoutNanos, int maxUpdatesPerMessage) {
  private static final long MS = 1_000_000;

  public SwimTimings {
    if (maxMembers < 1
        || probeIntervalNanos < 10 * MS
        || probeTimeoutNanos < MS
        || 3 * probeTimeoutNanos > probeIntervalNanos
        || maxUpdatesPerMessage < 4) {
      throw new IllegalArgumentException(
          "told at least 1, a period of three answers and 10 ms at least, 4 rumours");
    }
  }

  /** A probe each half second. */
  public static SwimTimings defaults(int told) {
    return withProbeInterval(told, 500 * MS);
  }

  /**
   * A probe each period, three tenths of it for an answer, and as many rumours as fit with the
   * longest names.
   */
  public static SwimTimings withProbeInterval(int told, long period) {
    return new SwimTimings(told, period, period * 3 / 10, 10);
  }
}
