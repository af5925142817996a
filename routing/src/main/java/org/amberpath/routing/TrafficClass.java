package org.amberpath.routing;

/** A traffic class: its configuration and the statistics of its responses. */
final class TrafficClass {
  private static final int MAX_COUNTED_RESPONSES = 512;

  /** Pseudocounts that stand for responses while there are few. */
  private static final double PRIOR_MISSES = 4.0;

  private static final double PRIOR_RESPONSES = 8.0;
  private static final double PRIOR_ORIGIN_FILLS = 1.0;
  private static final double PRIOR_FILLS = 2.0;

  private final TrafficClassConfig config;
  private final LatencyHistogram durations = new LatencyHistogram();

  /** Mean of the histogram, cached because it is read many times per request. */
  private long meanWorkNanos;

  private int servedFromCache;
  private int filledByParent;
  private int filledByOrigin;

  /**
   * Creates a traffic class. Until there are responses, the latency objective stands in for the
   * work.
   */
  TrafficClass(TrafficClassConfig config) {
    this.config = config;
    meanWorkNanos = config.latencyObjectiveNanos();
  }

  /** Whether a request may be executed twice. */
  Idempotency idempotency() {
    return config.idempotency();
  }

  /** Which endpoints drop repeats with the same idempotency key. */
  IdempotencyScope idempotencyScope() {
    return config.idempotencyScope();
  }

  /** How long endpoints remember an idempotency key, in nanoseconds. */
  long idempotencyWindowNanos() {
    return config.idempotencyWindowNanos();
  }

  /**
   * The fixed part of the latency objective, in nanoseconds, which does not depend on a response's
   * own duration.
   */
  long latencyObjectiveNanos() {
    return config.latencyObjectiveNanos();
  }

  /** The factor of a response's own duration that is added to the latency objective. */
  double latencyStretch() {
    return config.latencyStretch();
  }

  /** Whether no response of the class is cached. */
  boolean isNeverCached() {
    return config.neverCached();
  }

  /** How long a copy is fresh, in nanoseconds; 0 for until it is purged. */
  long freshNanos() {
    return config.freshNanos();
  }

  /** How long past its fresh time a copy may still be returned, in nanoseconds. */
  long staleGraceNanos() {
    return config.staleGraceNanos();
  }

  /** The revenue of one request, in the configuration's unit. */
  double revenue() {
    return config.revenue();
  }

  /** The work of one request: the mean time for which it occupies a cache, in nanoseconds. */
  long workNanos() {
    return meanWorkNanos;
  }

  /** Records how long a request occupied a cache, or is expected to, in nanoseconds. */
  void recordDuration(long durationNanos) {
    durations.record(durationNanos);
    meanWorkNanos = durations.meanNanos();
  }

  /**
   * Counts a response by how it was produced. All counts are halved when their sum reaches the
   * maximum.
   */
  void recordResponse(ResponseDetail detail) {
    switch (detail) {
      case HIT, STALE -> servedFromCache++;
      case FILLED_BY_ORIGIN -> filledByOrigin++;
      default -> filledByParent++;
    }
    if (servedFromCache + filledByParent + filledByOrigin >= MAX_COUNTED_RESPONSES) {
      servedFromCache /= 2;
      filledByParent /= 2;
      filledByOrigin /= 2;
    }
  }

  /** Returns the estimated fraction of requests that need a fill, 0 to 1. */
  double missFraction() {
    int fills = filledByParent + filledByOrigin;
    return (fills + PRIOR_MISSES) / (servedFromCache + fills + PRIOR_RESPONSES);
  }

  /** Returns the estimated fraction of fills that reach the origin, 0 to 1. */
  double originFraction() {
    return (filledByOrigin + PRIOR_ORIGIN_FILLS) / (filledByParent + filledByOrigin + PRIOR_FILLS);
  }
}
