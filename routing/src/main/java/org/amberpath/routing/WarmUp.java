package org.amberpath.routing;

/** How far one endpoint has warmed up since it started, and the debt for the work it was sent. */
final class WarmUp {
  /** Stands for a first debt that has been replaced by a debt for work sent. */
  static final double NO_FRACTION = -1;

  private static final double THROUGHPUT_WINDOW_NANOS = 4e9;
  private static final double NANOS_PER_SECOND = 1e9;

  /** The profile of the endpoint's kind. */
  SlowStartProfile profile;

  /** When it started, in nanoseconds; 0 for long ago. */
  long startedAtNanos;

  /** Work sent and not yet paid off, in seconds, as of {@link #debtAtNanos}; below 0 for credit. */
  double debtSeconds;

  /**
   * Until the first request is sent the debt follows from this random number, 0 to 1; else {@link
   * #NO_FRACTION}.
   */
  double firstDebtFraction = NO_FRACTION;

  /** When the debt was last changed, in nanoseconds. */
  long debtAtNanos;

  /** The earliest time of the next prefetch, in nanoseconds. */
  long nextPrefetchNanos;

  private double throughput;
  private long throughputAtNanos;

  /** The fraction of its capacity that the endpoint is sure to have, 0 to 1. */
  double capacityFraction(long nowNanos) {
    long sinceNanos = Math.max(0, nowNanos - startedAtNanos);
    return startedAtNanos == 0 || sinceNanos >= profile.durationNanos
        ? 1
        : profile.initialFraction
            + (1 - profile.initialFraction) * sinceNanos / profile.durationNanos;
  }

  /** Whether it has all of its capacity. */
  boolean isComplete(long nowNanos) {
    return capacityFraction(nowNanos) >= 1;
  }

  /**
   * Records work that it has returned, in seconds; work that was only sent does not show what it
   * can serve.
   */
  void recordServedWork(double workSeconds, long nowNanos) {
    if (throughput != 0 || workSeconds != 0) { // Stays 0 for most endpoints, which return nothing.
      throughput =
          throughput * Math.exp(-(nowNanos - throughputAtNanos) / THROUGHPUT_WINDOW_NANOS)
              + workSeconds * NANOS_PER_SECOND / THROUGHPUT_WINDOW_NANOS;
    }
    throughputAtNanos = nowNanos;
  }

  /** Work returned per second, over the last few seconds. */
  double throughput(long nowNanos) {
    recordServedWork(0, nowNanos);
    return throughput;
  }
}
