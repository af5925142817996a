package org.amberpath.leadership;

/** The intervals of report requests and health checks, which depend on the number of gateways. */
final class HealthCheckIntervals {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The minimum time between two report requests of one gateway. */
  static final long MIN_REQUEST_INTERVAL_NANOS = 500 * NANOS_PER_MILLI;

  /**
   * The pause after a check that was not sent, and the initial value of the pause that doubles with
   * each unanswered check.
   */
  static final long INITIAL_PAUSE_NANOS = 125 * NANOS_PER_MILLI;

  /** The maximum rate at which the fleet sends report requests to a leader, for any fleet size. */
  private static final int MAX_REQUESTS_PER_SECOND = 200;

  /**
   * The number of request intervals for which a report is trusted; a request is valid for one more.
   */
  private static final int TRUSTED_INTERVALS = 3;

  /**
   * The leader sends this many times fewer checks than all gateways together would without a
   * leader.
   */
  private static final int CHECK_REDUCTION_FACTOR = 10;

  /** Bounds of {@link #maxPauseNanos}, which falls as the fleet grows. */
  private static final long MAX_PAUSE_UPPER_BOUND_NANOS = 4000 * NANOS_PER_MILLI;

  private static final long MAX_PAUSE_LOWER_BOUND_NANOS = 1000 * NANOS_PER_MILLI;

  private long requestIntervalNanos = MIN_REQUEST_INTERVAL_NANOS;
  private long maxPauseNanos = MAX_PAUSE_UPPER_BOUND_NANOS;

  void fleetSizeChanged(int gateways) {
    requestIntervalNanos =
        Math.max(
            MIN_REQUEST_INTERVAL_NANOS,
            gateways * (1000 * NANOS_PER_MILLI / MAX_REQUESTS_PER_SECOND));
    maxPauseNanos =
        Math.max(
            MAX_PAUSE_LOWER_BOUND_NANOS,
            Math.min(
                MAX_PAUSE_UPPER_BOUND_NANOS,
                CHECK_REDUCTION_FACTOR * MAX_PAUSE_UPPER_BOUND_NANOS / Math.max(1, gateways)));
  }

  /** The time between two report requests of one gateway. */
  long requestIntervalNanos() {
    return requestIntervalNanos;
  }

  /** The maximum time between two checks of an endpoint that does not respond. */
  long maxPauseNanos() {
    return maxPauseNanos;
  }

  /**
   * Whether a report of this age still shows that a leader performs the checks for all gateways.
   */
  boolean isReportTrusted(long reportAgeNanos) {
    return reportAgeNanos < TRUSTED_INTERVALS * requestIntervalNanos;
  }

  /** Whether the leader still checks an endpoint whose last request has this age. */
  boolean isRequestValid(long requestAgeNanos) {
    return requestAgeNanos <= (TRUSTED_INTERVALS + 1) * requestIntervalNanos;
  }
}
