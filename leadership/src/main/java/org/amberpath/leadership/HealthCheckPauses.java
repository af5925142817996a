package org.amberpath.leadership;

/** How often reports are requested and endpoints checked, by the number of gateways. */
final class HealthCheckPauses {
  private static final long MS = 1_000_000;

  /** The least time between two report requests of one gateway. */
  static final long MIN_REQUEST_INTERVAL_NANOS = 500 * MS;

  /** The first pause after a check without a response; each later one is twice as long. */
  static final long FIRST_PAUSE_NANOS = 125 * MS;

  /** What the whole fleet sends a leader, whatever its size. */
  private static final int MAX_REQUESTS_PER_SECOND = 200;

  /** A report is trusted, and a request valid for one more, for so many intervals. */
  private static final int TRUSTED_INTERVALS = 3;

  /** The leader checks this many times less than all gateways would by themselves. */
  private static final int FEWER_CHECKS = 10;

  private static final long LONGEST_PAUSE_NANOS = 4000 * MS;
  private static final long SHORTEST_MAX_PAUSE_NANOS = 1000 * MS;

  private long requestIntervalNanos = MIN_REQUEST_INTERVAL_NANOS;
  private long maxPauseNanos = LONGEST_PAUSE_NANOS;

  void fleetSizeChanged(int gateways) {
    requestIntervalNanos =
        Math.max(MIN_REQUEST_INTERVAL_NANOS, gateways * (1000 * MS / MAX_REQUESTS_PER_SECOND));
    maxPauseNanos =
        Math.max(
            SHORTEST_MAX_PAUSE_NANOS,
            Math.min(
                LONGEST_PAUSE_NANOS, FEWER_CHECKS * LONGEST_PAUSE_NANOS / Math.max(1, gateways)));
  }

  /** Between two report requests of one gateway. */
  long requestIntervalNanos() {
    return requestIntervalNanos;
  }

  /** Between two checks of an endpoint that does not respond, at the most. */
  long maxPauseNanos() {
    return maxPauseNanos;
  }

  /** Whether a report of this age still says that a leader checks for all. */
  boolean isTrusted(long reportAgeNanos) {
    return reportAgeNanos < TRUSTED_INTERVALS * requestIntervalNanos;
  }

  /** Whether a request of this age still has an endpoint checked. */
  boolean isRequested(long requestAgeNanos) {
    return requestAgeNanos <= (TRUSTED_INTERVALS + 1) * requestIntervalNanos;
  }
}
