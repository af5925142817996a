package org.amberpath.routing;

/** One delivery service: its configuration, and what its answers have shown so far. */
final class TrafficClass {
  private static final int FULL_AT_ANSWERS = 512;
  private static final double ASSUMED_MISSES = 4.0;
  private static final double ASSUMED_ANSWERS = 8.0;
  private static final double ASSUMED_ORIGIN_FILLS = 1.0;
  private static final double ASSUMED_FILLS = 2.0;

  private final TrafficClassConfig config;
  private final LatencyHistogram durations = new LatencyHistogram();

  /** The histogram's mean, stored: it is read many times a request. */
  private long meanWorkNanos;

  private int returnedFromCache;
  private int filledByParent;
  private int filledByOrigin;

  /** A traffic class; until there are answers its latency objective stands for its work. */
  TrafficClass(TrafficClassConfig config) {
    this.config = config;
    meanWorkNanos = config.latencyObjectiveNanos();
  }

  /** Whether a repeat may have an effect of its own. */
  Idempotency effect() {
    return config.idempotency();
  }

  /** Which endpoints drop the repeat of a request with an idempotency key. */
  IdempotencyScope idempotencyGroup() {
    return config.idempotencyScope();
  }

  /** How long an idempotency key is remembered, in nanoseconds. */
  long idempotencyWindowNanos() {
    return config.idempotencyWindowNanos();
  }

  /** How long an answer may take at best, in nanoseconds. */
  long latencyObjectiveNanos() {
    return config.latencyObjectiveNanos();
  }

  /** By how much the latency objective grows with a request's own duration. */
  double latencyStretch() {
    return config.latencyStretch();
  }

  /** Whether no answer of this class is ever cached. */
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

  /** The revenue of one request, in the site's unit. */
  double revenue() {
    return config.revenue();
  }

  /** The work of one request: how long a cache is busy with it on the mean, in nanoseconds. */
  long workNanos() {
    return meanWorkNanos;
  }

  /** Counts how long a cache was, or will be, busy with a request, in nanoseconds. */
  void recordDuration(long durationNanos) {
    durations.record(durationNanos);
    meanWorkNanos = durations.meanNanos();
  }

  /** Counts which route an answer came by. All counts are halved when they are full. */
  void recordRoute(ResponseDetail note) {
    switch (note) {
      case HIT, STALE -> returnedFromCache++;
      case FILLED_BY_ORIGIN -> filledByOrigin++;
      default -> filledByParent++;
    }
    if (returnedFromCache + filledByParent + filledByOrigin >= FULL_AT_ANSWERS) {
      returnedFromCache /= 2;
      filledByParent /= 2;
      filledByOrigin /= 2;
    }
  }

  /** The likely fraction of requests that need a fill, 0 to 1. */
  double missFraction() {
    int fills = filledByParent + filledByOrigin;
    return (fills + ASSUMED_MISSES) / (returnedFromCache + fills + ASSUMED_ANSWERS);
  }

  /** The likely fraction of fills that reach the origin, 0 to 1. */
  double originFraction() {
    return (filledByOrigin + ASSUMED_ORIGIN_FILLS)
        / (filledByParent + filledByOrigin + ASSUMED_FILLS);
  }
}
