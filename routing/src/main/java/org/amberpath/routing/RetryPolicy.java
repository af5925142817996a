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
   * Guards against an effect twice: what may have run is repeated only where its repeats are
   * dropped.
   */
  boolean permits(InFlightRequest request, Endpoint endpoint, long nowNanos) {
    Attempt executed = request.firstExecuted;
    if (executed == null) {
      return true;
    }
    TrafficClass trafficClass = request.trafficClass;
    return trafficClass.effect() == Idempotency.IDEMPOTENT
        || (trafficClass.effect() == Idempotency.IDEMPOTENCY_KEY
            && nowNanos - executed.sentAtNanos() < trafficClass.idempotencyWindowNanos()
            && sharesIdempotencyGroup(
                trafficClass.idempotencyGroup(), endpoint, executed.endpoint()));
  }

  private static boolean sharesIdempotencyGroup(
      IdempotencyScope group, Endpoint one, Endpoint other) {
    return group == IdempotencyScope.ALL
        || (one.zone.equals(other.zone)
            && (group == IdempotencyScope.ZONE || one.cell == other.cell));
  }

  /** Whether a request's state leaves room for a further attempt, wherever it goes. */
  boolean permitsAnother(InFlightRequest request, long nowNanos) {
    return !request.streaming
        && !request.isSynthetic()
        && hasTimeLeft(request, nowNanos)
        && request.attempts.size() < config.maxAttempts();
  }

  /** Whether the time to its deadline is worth an answer that invites more. */
  boolean hasTimeLeft(InFlightRequest request, long nowNanos) {
    return request.timeLeftNanos(nowNanos) >= MIN_TIME_LEFT_NANOS;
  }

  /** Whether a request that waits may be sent to a second endpoint beside the first. */
  boolean permitsHedging(Attempt attempt, long nowNanos) {
    InFlightRequest request = attempt.request();
    return !request.done
        && request.openAttempts == 1
        && attempt.isOverdue(nowNanos)
        && config.hedging()
        && request.trafficClass.effect() == Idempotency.IDEMPOTENT;
  }

  /**
   * Whether whoever asks may repeat a request that got no answer: nothing ran, or repeats are
   * dropped everywhere.
   */
  boolean isSafeToRepeat(InFlightRequest request) {
    Idempotency effect = request.trafficClass.effect();
    return (request.firstExecuted == null && request.openAttempts == 0)
        || effect == Idempotency.IDEMPOTENT
        || (effect == Idempotency.IDEMPOTENCY_KEY
            && request.trafficClass.idempotencyGroup() == IdempotencyScope.ALL);
  }

  /** Whether what went wrong lies behind the endpoint, with the source of its fill. */
  static boolean isSourceFault(ResponseDetail note) {
    return note.compareTo(ResponseDetail.FILL_REJECTED) >= 0
        && note != ResponseDetail.NOT_STORED_NO_SPACE;
  }
}
