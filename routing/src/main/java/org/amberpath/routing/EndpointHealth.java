package org.amberpath.routing;

/**
 * The health of one endpoint, by the responses that this gateway has seen. An ejected endpoint gets
 * single requests, after a backoff that doubles; once it has responded it is on probation, with a
 * part of its keys that doubles. Source: docs/design.md, "Outlier detection".
 */
final class EndpointHealth {
  /**
   * HEALTHY takes all of its keys, EJECTED none but single health checks, PROBATION a part that
   * grows.
   */
  enum State {
    HEALTHY,
    EJECTED,
    PROBATION
  }

  private static final long FIRST_BACKOFF_NANOS = 250_000_000L;
  private static final long MAX_BACKOFF_NANOS = 4_000_000_000L;
  private static final long PROBATION_STEP_NANOS = 500_000_000L;
  private static final double FIRST_PROBATION_FRACTION = 1.0 / 16;
  private static final long MAX_PROBATION_DOUBLINGS = 32;
  private static final double OVERDUE_LIMIT = 2;

  /** When the endpoint last responded in any way, in nanoseconds. */
  long lastResponseNanos;

  /** Whether it was reported as suspect for a health check, without enough evidence to eject it. */
  boolean suspected;

  /** How many of its requests are overdue; counted anew in each sweep. */
  int overdue;

  /** Attempts that were lost or found no connection since it last responded. */
  int failures;

  private State state = State.HEALTHY;
  private long ejectedAtNanos;
  private long probationSinceNanos;
  private long nextHealthCheckNanos;
  private long backoffNanos = FIRST_BACKOFF_NANOS;

  /** The longest backoff between two checks of an ejected endpoint, in nanoseconds. */
  static long maxBackoffNanos() {
    return MAX_BACKOFF_NANOS;
  }

  /**
   * The fraction of its keys that it gets. On probation it doubles with time, not with responses: a
   * thin slice would bring none for long.
   */
  double keyFraction(long nowNanos) {
    return switch (state) {
      case HEALTHY -> 1;
      case EJECTED -> 0;
      case PROBATION ->
          Math.min(1, FIRST_PROBATION_FRACTION * (1L << probationDoublings(nowNanos)));
    };
  }

  /** How often its part of the keys has doubled; bounded, since no shift may pass a long. */
  private long probationDoublings(long nowNanos) {
    return Math.min(
        MAX_PROBATION_DOUBLINGS, (nowNanos - probationSinceNanos) / PROBATION_STEP_NANOS);
  }

  /** Whether it has any keys. */
  boolean isServing(long nowNanos) {
    return state == State.HEALTHY || keyFraction(nowNanos) > 0;
  }

  /** Whether it gets single requests as health checks only. */
  boolean isEjected() {
    return state == State.EJECTED;
  }

  /** Whether the backoff since its last ejection is over; also true if it was never ejected. */
  boolean isBackoffOver(long nowNanos) {
    return nowNanos >= nextHealthCheckNanos;
  }

  /** The same for a backoff that is longer by so many nanoseconds. */
  boolean isBackoffOver(long nowNanos, double longerByNanos) {
    return nowNanos >= nextHealthCheckNanos + longerByNanos;
  }

  /** Whether enough of its requests are overdue or failed to take it for an outlier. */
  boolean isUnresponsive() {
    return overdue + failures >= (isEjected() ? 1 : OVERDUE_LIMIT);
  }

  /** Whether there is nothing to eject or suspect it for, nor a suspicion to clear. */
  boolean isUnremarkable() {
    return overdue == 0 && failures == 0 && !suspected;
  }

  /** The backoff of the next ejection, in nanoseconds. */
  long backoffNanos() {
    return backoffNanos;
  }

  /**
   * Takes all keys away until half the backoff and the given random part of it have passed, and
   * doubles the next one.
   */
  void eject(long nowNanos, long randomPartNanos) {
    failures = 0;
    ejectedAtNanos = nowNanos;
    nextHealthCheckNanos = nowNanos + backoffNanos / 2 + randomPartNanos;
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    state = State.EJECTED;
  }

  /** It was alive at the given time; returns whether that begins its probation. */
  boolean beginProbation(long aliveAtNanos, long nowNanos) {
    if (state != State.EJECTED || aliveAtNanos < ejectedAtNanos) {
      return false;
    }
    probationSinceNanos = nowNanos;
    state = State.PROBATION;
    return true;
  }

  /** Gives all of its keys back, and resets the backoff. */
  void recover() {
    state = State.HEALTHY;
    backoffNanos = FIRST_BACKOFF_NANOS;
  }

  /**
   * It has restarted: earlier failures no longer count, but the backoff stays as long as it was.
   */
  void restart() {
    state = State.HEALTHY;
  }
}
