package org.amberpath.routing;

/**
 * The health state of one endpoint, derived from the responses that this gateway has received. An
 * ejected endpoint receives single requests after a backoff that doubles with each ejection. Once
 * it has responded it is on probation and receives a fraction of its keys that doubles over time.
 * Source: docs/design.md, "Outlier detection".
 */
final class EndpointHealth {
  /**
   * HEALTHY: the endpoint receives all of its keys. EJECTED: it receives no keys, only single
   * health checks. PROBATION: it receives a growing fraction of its keys.
   */
  enum State {
    HEALTHY,
    EJECTED,
    PROBATION
  }

  private static final long INITIAL_BACKOFF_NANOS = 250_000_000L;
  private static final long MAX_BACKOFF_NANOS = 4_000_000_000L;
  private static final long PROBATION_STEP_NANOS = 500_000_000L;
  private static final double INITIAL_PROBATION_FRACTION = 1.0 / 16;
  private static final long MAX_PROBATION_DOUBLINGS = 32;
  private static final double UNRESPONSIVE_THRESHOLD = 2;

  /** Time of the endpoint's last response of any kind, in nanoseconds. */
  long lastResponseNanos;

  /**
   * Whether the endpoint was reported as {@link EndpointHealthStatus#SUSPECT}; cleared when the
   * endpoint responds, or when a sweep finds it responsive or without overdue requests.
   */
  boolean suspected;

  /** Number of overdue requests at the endpoint; recomputed in each sweep. */
  int overdueRequests;

  /**
   * Attempts since the endpoint's last response that lost their connection or could not connect.
   */
  int failuresSinceResponse;

  private State state = State.HEALTHY;
  private long ejectedAtNanos;
  private long probationSinceNanos;
  private long nextHealthCheckNanos;
  private long backoffNanos = INITIAL_BACKOFF_NANOS;

  /**
   * Returns the longest backoff between two health checks of an ejected endpoint, in nanoseconds.
   */
  static long maxBackoffNanos() {
    return MAX_BACKOFF_NANOS;
  }

  /**
   * Returns the fraction of its keys that the endpoint receives, 0 to 1. On probation the fraction
   * doubles with time, not with responses: a small fraction may not produce a response for a long
   * time.
   */
  double keyFraction(long nowNanos) {
    return switch (state) {
      case HEALTHY -> 1;
      case EJECTED -> 0;
      case PROBATION ->
          Math.min(1, INITIAL_PROBATION_FRACTION * (1L << probationDoublings(nowNanos)));
    };
  }

  /**
   * Returns how many times the fraction has doubled on probation, bounded so that the shift in
   * {@link #keyFraction} does not overflow a long.
   */
  private long probationDoublings(long nowNanos) {
    return Math.min(
        MAX_PROBATION_DOUBLINGS, (nowNanos - probationSinceNanos) / PROBATION_STEP_NANOS);
  }

  /** Whether the endpoint receives any keys. */
  boolean isServing(long nowNanos) {
    return state == State.HEALTHY || keyFraction(nowNanos) > 0;
  }

  /** Whether the endpoint receives only single requests, as health checks. */
  boolean isEjected() {
    return state == State.EJECTED;
  }

  /**
   * Whether the backoff of the last ejection has passed; also true if the endpoint was never
   * ejected.
   */
  boolean isBackoffOver(long nowNanos) {
    return nowNanos >= nextHealthCheckNanos;
  }

  /**
   * Whether the backoff of the last ejection and an additional delay, in nanoseconds, have passed.
   */
  boolean isBackoffOver(long nowNanos, double additionalDelayNanos) {
    return nowNanos >= nextHealthCheckNanos + additionalDelayNanos;
  }

  /**
   * Whether the overdue requests and failures suffice to treat the endpoint as an outlier: two, or
   * one while it is ejected.
   */
  boolean isUnresponsive() {
    return overdueRequests + failuresSinceResponse >= (isEjected() ? 1 : UNRESPONSIVE_THRESHOLD);
  }

  /** Whether the endpoint has no overdue request, no failure and no suspicion to clear. */
  boolean needsNoEvaluation() {
    return overdueRequests == 0 && failuresSinceResponse == 0 && !suspected;
  }

  /** Returns the backoff of the next ejection, in nanoseconds. */
  long backoffNanos() {
    return backoffNanos;
  }

  /**
   * Ejects the endpoint: it receives no keys until half of the backoff and the given random part
   * have passed. Doubles the backoff of the next ejection, up to the maximum.
   */
  void eject(long nowNanos, long randomPartNanos) {
    failuresSinceResponse = 0;
    ejectedAtNanos = nowNanos;
    nextHealthCheckNanos = nowNanos + backoffNanos / 2 + randomPartNanos;
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    state = State.EJECTED;
  }

  /**
   * Begins the endpoint's probation if it is ejected and was alive at the given time, unless that
   * time precedes the ejection.
   *
   * @return whether probation has begun
   */
  boolean beginProbation(long aliveAtNanos, long nowNanos) {
    if (state != State.EJECTED || aliveAtNanos < ejectedAtNanos) {
      return false;
    }
    probationSinceNanos = nowNanos;
    state = State.PROBATION;
    return true;
  }

  /** Returns the endpoint to {@link State#HEALTHY} and resets the backoff. */
  void recover() {
    state = State.HEALTHY;
    backoffNanos = INITIAL_BACKOFF_NANOS;
  }

  /**
   * Returns the endpoint to {@link State#HEALTHY} after it has restarted, but keeps the current
   * backoff.
   */
  void restart() {
    state = State.HEALTHY;
  }
}
