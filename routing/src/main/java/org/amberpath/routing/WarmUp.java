package org.amberpath.routing;

/**
 * The warm-up state of one endpoint since its start, and the debt for the work that it was sent.
 */
final class WarmUp {
  /** Marks that the random initial debt has been replaced by a debt for work sent. */
  static final double NO_INITIAL_DEBT = -1;

  private static final double THROUGHPUT_WINDOW_NANOS = 4e9;
  private static final double NANOS_PER_SECOND = 1e9;

  /** The profile of the endpoint's kind. */
  SlowStartProfile profile;

  /** Time of the endpoint's start, in nanoseconds; 0 if it has long been running. */
  long startedAtNanos;

  /** Work sent and not yet paid off, in seconds, as of {@link #debtAtNanos}; below 0 for credit. */
  double debtSeconds;

  /**
   * Random fraction, 0 to 1, that determines the debt until the first request is sent; {@link
   * #NO_INITIAL_DEBT} afterwards.
   */
  double initialDebtFraction = NO_INITIAL_DEBT;

  /** Time of the last change of the debt, in nanoseconds. */
  long debtAtNanos;

  /** The earliest time of the next prefetch, in nanoseconds. */
  long nextPrefetchNanos;

  private double throughput;
  private long throughputAtNanos;

  /** Returns the fraction of its capacity that the endpoint is certain to have, 0 to 1. */
  double capacityFraction(long nowNanos) {
    long ageNanos = Math.max(0, nowNanos - startedAtNanos);
    return startedAtNanos == 0 || ageNanos >= profile.durationNanos
        ? 1
        : profile.initialFraction
            + (1 - profile.initialFraction) * ageNanos / profile.durationNanos;
  }

  /** Whether the endpoint has its full capacity. */
  boolean isComplete(long nowNanos) {
    return capacityFraction(nowNanos) >= 1;
  }

  /**
   * Records work, in seconds, that the endpoint has returned; work that was only sent does not show
   * what the endpoint can serve.
   */
  void recordServedWork(double workSeconds, long nowNanos) {
    // The throughput stays 0 for most endpoints, which have returned no work.
    if (throughput != 0 || workSeconds != 0) {
      throughput =
          throughput * Math.exp(-(nowNanos - throughputAtNanos) / THROUGHPUT_WINDOW_NANOS)
              + workSeconds * NANOS_PER_SECOND / THROUGHPUT_WINDOW_NANOS;
    }
    throughputAtNanos = nowNanos;
  }

  /** Returns the work returned per second, as a moving average over 4 s. */
  double throughput(long nowNanos) {
    recordServedWork(0, nowNanos);
    return throughput;
  }
}
