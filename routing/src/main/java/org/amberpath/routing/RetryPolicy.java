package org.amberpath.routing;

/**
 * Decides whether a request may be attempted again, and at which endpoints, so that no request
 * takes effect twice.
 */
final class RetryPolicy {
  private static final long MIN_TIME_LEFT_NANOS = 20_000_000L;

  private final RetryConfig config;

  /** Creates the policy of a configuration. */
  RetryPolicy(RetryConfig config) {
    this.config = config;
  }

  /**
   * Whether the request may be sent to an endpoint. Guards against executing a request twice: a
   * request that may have executed is retried only where its repeats are dropped or have no effect.
   */
  boolean permits(InFlightRequest request, Endpoint endpoint, long nowNanos) {
    Attempt executed = request.earliestExecuted;
    if (executed == null) {
      return true;
    }
    TrafficClass trafficClass = request.trafficClass;
    return trafficClass.idempotency() == Idempotency.IDEMPOTENT
        || (trafficClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
            && nowNanos - executed.sentAtNanos() < trafficClass.idempotencyWindowNanos()
            && sharesIdempotencyScope(
                trafficClass.idempotencyScope(), endpoint, executed.endpoint()));
  }

  private static boolean sharesIdempotencyScope(
      IdempotencyScope scope, Endpoint first, Endpoint second) {
    return scope == IdempotencyScope.ALL
        || (first.zone.equals(second.zone)
            && (scope == IdempotencyScope.ZONE || first.cell == second.cell));
  }

  /** Whether a request's state permits a further attempt, at any endpoint. */
  boolean permitsAnother(InFlightRequest request, long nowNanos) {
    return !request.streaming
        && !request.isSynthetic()
        && hasTimeLeft(request, nowNanos)
        && request.attempts.size() < config.maxAttempts();
  }

  /**
   * Whether the time left until a request's deadline is sufficient for a retry, by this gateway or
   * by the client.
   */
  boolean hasTimeLeft(InFlightRequest request, long nowNanos) {
    return request.timeLeftNanos(nowNanos) >= MIN_TIME_LEFT_NANOS;
  }

  /**
   * Whether an overdue request may be sent to a second endpoint while the first attempt is in
   * flight.
   */
  boolean permitsHedging(Attempt attempt, long nowNanos) {
    InFlightRequest request = attempt.request();
    return !request.finished
        && request.openAttempts == 1
        && attempt.isOverdue(nowNanos)
        && config.hedging()
        && request.trafficClass.idempotency() == Idempotency.IDEMPOTENT;
  }

  /**
   * Whether the client may repeat a request that received no response: it did not execute, or
   * repeats are dropped at every endpoint or have no effect.
   */
  boolean isSafeToRepeat(InFlightRequest request) {
    Idempotency idempotency = request.trafficClass.idempotency();
    return (request.earliestExecuted == null && request.openAttempts == 0)
        || idempotency == Idempotency.IDEMPOTENT
        || (idempotency == Idempotency.IDEMPOTENCY_KEY
            && request.trafficClass.idempotencyScope() == IdempotencyScope.ALL);
  }

  /**
   * Returns the shortest wait that a rejection recommends, half of the longest; 0 for no
   * recommendation.
   */
  long minRetryAfterNanos() {
    return config.retryAfter() ? config.maxRetryAfterNanos() / 2 : 0;
  }

  /** Whether the fault lies with the source of the fill rather than with the endpoint. */
  static boolean isSourceFault(ResponseDetail detail) {
    return detail.compareTo(ResponseDetail.FILL_REJECTED) >= 0
        && detail != ResponseDetail.NOT_STORED_NO_SPACE;
  }
}
