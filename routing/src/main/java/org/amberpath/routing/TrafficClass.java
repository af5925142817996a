package org.amberpath.routing;

/** One traffic class: its configuration, and the statistics of its responses so far. */
final class TrafficClass {
  private static final int HALVED_AT_RESPONSES = 512;
  private static final double ASSUMED_MISSES = 4.0;
  private static final double ASSUMED_RESPONSES = 8.0;
  private static final double ASSUMED_ORIGIN_FILLS = 1.0;
  private static final double ASSUMED_FILLS = 2.0;

  private final TrafficClassConfig config;
  private final LatencyHistogram durations = new LatencyHistogram();

  /** The histogram's mean, stored since it is read many times a request. */
  private long meanWorkNanos;

  private int servedFromCache;
  private int filledByParent;
  private int filledByOrigin;

  /** A traffic class; until there are responses its latency objective stands for its work. */
  TrafficClass(TrafficClassConfig config) {
    this.config = config;
    meanWorkNanos = config.latencyObjectiveNanos();
  }

  /** Whether a repeat may have an effect of its own. */
  Idempotency idempotency() {
    return config.idempotency();
  }

  /** Which endpoints drop the repeat of a request with an idempotency key. */
  IdempotencyScope idempotencyScope() {
    return config.idempotencyScope();
  }

  /** How long an idempotency key is remembered, in nanoseconds. */
  long idempotencyWindowNanos() {
    return config.idempotencyWindowNanos();
  }

  /** How long a response may take besides what grows with its own duration, in nanoseconds. */
  long latencyObjectiveNanos() {
    return config.latencyObjectiveNanos();
  }

  /** By how much the latency objective grows with a request's own duration. */
  double latencyStretch() {
    return config.latencyStretch();
  }

  /** Whether no response of this class is ever cached. */
  boolean isNeverCached() {
    return config.neverCached();
  }

  /** How long a copy is fresh, in nanoseconds; 0 until it is purged. */
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

  /** The work of one request: the mean time that a cache is busy with it, in nanoseconds. */
  long workNanos() {
    return meanWorkNanos;
  }

  /** Counts how long a cache was, or will be, busy with a request, in nanoseconds. */
  void recordDuration(long durationNanos) {
    durations.record(durationNanos);
    meanWorkNanos = durations.meanNanos();
  }

  /** Counts by which route a response came. All counts are halved when they are full. */
  void recordRoute(ResponseDetail detail) {
    switch (detail) {
      case HIT, STALE -> servedFromCache++;
      case FILLED_BY_ORIGIN -> filledByOrigin++;
      default -> filledByParent++;
    }
    if (servedFromCache + filledByParent + filledByOrigin >= HALVED_AT_RESPONSES) {
      servedFromCache /= 2;
      filledByParent /= 2;
      filledByOrigin /= 2;
    }
  }

  /** The likely fraction of requests that need a fill, 0 to 1. */
  double missFraction() {
    int fills = filledByParent + filledByOrigin;
    return (fills + ASSUMED_MISSES) / (servedFromCache + fills + ASSUMED_RESPONSES);
  }

  /** The likely fraction of fills that reach the origin, 0 to 1. */
  double originFraction() {
    return (filledByOrigin + ASSUMED_ORIGIN_FILLS)
        / (filledByParent + filledByOrigin + ASSUMED_FILLS);
  }
}
