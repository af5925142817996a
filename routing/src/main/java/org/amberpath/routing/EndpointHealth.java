package org.amberpath.routing;

/**
 * How one endpoint is, by the signs of life that this gateway has seen. An ejected endpoint gets
 * single requests, after pauses that double; once one has shown that it answers it is on probation,
 * with a part of its keys that doubles.
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

  /** When the endpoint last gave a sign of life, in nanoseconds. */
  long lastResponseNanos;

  /** Whether others were asked to look at it: too little to go by alone. */
  boolean suspected;

  /** How many requests wait for it past their time; counted anew in each sweep. */
  int overdue;

  /** Attempts lost, or without a connection, since it last answered. */
  int failures;

  private State state = State.HEALTHY;
  private long ejectedAtNanos;
  private long probationSinceNanos;
  private long nextHealthCheckNanos;
  private long backoffNanos = FIRST_BACKOFF_NANOS;

  /** The longest pause between two checks of an ejected endpoint, in nanoseconds. */
  static long maxBackoffNanos() {
    return MAX_BACKOFF_NANOS;
  }

  /**
   * The fraction of its keys that it gets. A trickle doubles with time: a thin slice would bring no
   * answers for long.
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

  /** Whether the pause since it was ejected last is over; also true if it never was. */
  boolean isBackoffOver(long nowNanos) {
    return nowNanos >= nextHealthCheckNanos;
  }

  /** The same of a pause that is longer by so many nanoseconds. */
  boolean isBackoffOver(long nowNanos, double longerByNanos) {
    return nowNanos >= nextHealthCheckNanos + longerByNanos;
  }

  /** Whether enough of its requests are overdue or failed to take it for an outlier. */
  boolean isUnresponsive() {
    return overdue + failures >= (isEjected() ? 1 : OVERDUE_LIMIT);
  }

  /** Whether there is nothing to eject it or to suspect it for, nor a suspicion to take back. */
  boolean isUnremarkable() {
    return overdue == 0 && failures == 0 && !suspected;
  }

  /** The pause that the next ejection begins with, in nanoseconds. */
  long backoffNanos() {
    return backoffNanos;
  }

  /**
   * Takes all keys away, and doubles the pause: from half the last one and this random part of it
   * on.
   */
  void eject(long nowNanos, long randomPartNanos) {
    failures = 0;
    ejectedAtNanos = nowNanos;
    nextHealthCheckNanos = nowNanos + backoffNanos / 2 + randomPartNanos;
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    state = State.EJECTED;
  }

  /** It is known to have lived at a time, in nanoseconds; whether that begins its probation. */
  boolean beginProbation(long aliveAtNanos, long nowNanos) {
    if (state != State.EJECTED || aliveAtNanos < ejectedAtNanos) {
      return false;
    }
    probationSinceNanos = nowNanos;
    state = State.PROBATION;
    return true;
  }

  /** Back to all of its keys, and to the shortest pause. */
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
