package org.amberpath.routing;

/**
 * Whether a request may be attempted again, and where: never so that it might have its effect
 * twice.
 */
final class RetryPolicy {
  private static final long MIN_TIME_LEFT_NANOS = 20_000_000L;

  private final RetryConfig config;

  /** The policy of a configuration. */
  RetryPolicy(RetryConfig config) {
    this.config = config;
  }

  /**
   * Whether an endpoint may be sent the request again. Guards against an effect twice: a request
   * that may have executed is retried only where its repeats are dropped or have no effect.
   */
  boolean permits(InFlightRequest request, Endpoint endpoint, long nowNanos) {
    Attempt executed = request.firstExecuted;
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

  /** Whether a request's state permits a further attempt, to whatever endpoint. */
  boolean permitsAnother(InFlightRequest request, long nowNanos) {
    return !request.streaming
        && !request.isSynthetic()
        && hasTimeLeft(request, nowNanos)
        && request.attempts.size() < config.maxAttempts();
  }

  /** Whether the time to its deadline is enough for a retry, here or by the client. */
  boolean hasTimeLeft(InFlightRequest request, long nowNanos) {
    return request.timeLeftNanos(nowNanos) >= MIN_TIME_LEFT_NANOS;
  }

  /** Whether an overdue request may be sent to a second endpoint beside the first. */
  boolean permitsHedging(Attempt attempt, long nowNanos) {
    InFlightRequest request = attempt.request();
    return !request.done
        && request.openAttempts == 1
        && attempt.isOverdue(nowNanos)
        && config.hedging()
        && request.trafficClass.idempotency() == Idempotency.IDEMPOTENT;
  }

  /**
   * Whether the client may repeat a request that got no response: it did not execute, or repeats
   * are dropped everywhere or have no effect.
   */
  boolean isSafeToRepeat(InFlightRequest request) {
    Idempotency idempotency = request.trafficClass.idempotency();
    return (request.firstExecuted == null && request.openAttempts == 0)
        || idempotency == Idempotency.IDEMPOTENT
        || (idempotency == Idempotency.IDEMPOTENCY_KEY
            && request.trafficClass.idempotencyScope() == IdempotencyScope.ALL);
  }

  /** The shortest wait that a rejection asks for, half of the longest; 0 for no advice. */
  long minRetryAfterNanos() {
    return config.retryAfter() ? config.maxRetryAfterNanos() / 2 : 0;
  }

  /** Whether what went wrong lies behind the endpoint, with the source of its fill. */
  static boolean isSourceFault(ResponseDetail detail) {
    return detail.compareTo(ResponseDetail.FILL_REJECTED) >= 0
        && detail != ResponseDetail.NOT_STORED_NO_SPACE;
  }
}
