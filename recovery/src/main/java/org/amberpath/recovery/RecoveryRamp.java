package org.amberpath.recovery;

import java.util.SplittableRandom;

/**
 * How many requests a gateway admits that has started together with all others, by how many of
 * those that it admitted before have succeeded in time. Times are nanoseconds of one monotonic
 * clock. It decides on no endpoint.
 */
public final class RecoveryRamp {
  /** The phases, in order; none is entered twice. */
  public enum Phase {
    /**
     * Endpoints and purges are not known yet, or whether other gateways run: nothing is admitted.
     */
    LEARNING,
    /** The rate that this gateway's share of the slow-start budgets allows. */
    INITIAL_RATE,
    /** The rate that succeeded, and half as much again each {@value #STEP_MILLIS} ms. */
    RAMP_UP,
    /** All is admitted: nothing had to be rejected for a while, or other gateways ran on. */
    SERVING
  }

  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;
  private static final int STEP_MILLIS = 500;
  private static final long MAX_LEARNING_NANOS = 3 * SECOND;
  private static final long MIN_RETRY_AFTER_NANOS = 100 * MS;

  /** After so long without a rejection all is admitted. */
  private static final long CALM_NANOS = 2 * SECOND;

  private static final double RATE_FACTOR = 1.5;

  /** The rate is raised where this part of the admitted requests has succeeded, */
  private static final double MIN_SUCCESSES_TO_RAISE = 0.8;

  /** and this part of the rate was used. */
  private static final double MIN_USE_TO_RAISE = 0.8;

  /** The rate is lowered where less than this part has succeeded. */
  private static final double MIN_SUCCESSES_TO_KEEP = 0.5;

  private static final double BURST_SECONDS = 0.25;

  /** What was counted in one step. */
  private static final class Step {
    private final long startedAtNanos;
    private int admitted;
    private int succeeded;
    private int rejected;

    Step(long startedAtNanos) {
      this.startedAtNanos = startedAtNanos;
    }
  }

  private final long maxRetryAfterNanos;
  private final long startedAtNanos;
  private final SplittableRandom random;
  private Phase phase = Phase.LEARNING;

  /** Requests a second. */
  private double initialRate;

  private double rate;

  /** The token bucket: requests that may be admitted at once. */
  private double tokens;

  private long refilledAtNanos;
  private long lastRejectedNanos;
  private long servingSinceNanos;
  private Step step = new Step(0);
  private Step previousStep = new Step(0);

  /**
   * A start.
   *
   * @param seed spreads the times of {@link #retryAfterNanos}
   * @param maxRetryAfterNanos the longest of them; 0 where clients can't be told
   */
  public RecoveryRamp(long seed, long maxRetryAfterNanos, long nowNanos) {
    random = new SplittableRandom(seed);
    this.maxRetryAfterNanos = maxRetryAfterNanos;
    startedAtNanos = nowNanos;
  }

  /** The current phase. */
  public Phase phase() {
    return phase;
  }

  /** How many requests a second are admitted now. */
  public double rate() {
    return switch (phase) {
      case LEARNING -> 0;
      case INITIAL_RATE, RAMP_UP -> rate;
      case SERVING -> Double.MAX_VALUE;
    };
  }

  /**
   * Endpoints and purges are known, or their sources have failed.
   *
   * @param allRestarted whether all gateways have started together, by what the others say and by
   *     endpoints in slow start
   * @param ratePerSecond the requests that this gateway's share of the slow-start budgets allows
   */
  public void startupCompleted(long nowNanos, boolean allRestarted, double ratePerSecond) {
    if (phase != Phase.LEARNING) {
      return;
    }
    initialRate = Math.max(1, ratePerSecond);
    rate = initialRate;
    tokens = 1;
    refilledAtNanos = nowNanos;
    lastRejectedNanos = nowNanos;
    Step first = new Step(nowNanos);
    first.rejected = step.rejected;
    first.succeeded = step.succeeded;
    step = first;
    enter(allRestarted ? Phase.INITIAL_RATE : Phase.SERVING, nowNanos);
  }

  /** The one place where the phase changes. */
  private void enter(Phase next, long nowNanos) {
    phase = next;
    if (next == Phase.SERVING) {
      servingSinceNanos = nowNanos;
    }
  }

  /**
   * Several times a step. Sources that neither answer nor fail are not waited for without end: then
   * it starts with what is known.
   */
  public void tick(long nowNanos) {
    if (phase == Phase.LEARNING && nowNanos - startedAtNanos >= MAX_LEARNING_NANOS) {
      startupCompleted(nowNanos, true, 1);
    }
    if (phase == Phase.INITIAL_RATE || phase == Phase.RAMP_UP) {
      if (nowNanos - lastRejectedNanos >= CALM_NANOS) {
        enter(Phase.SERVING, nowNanos);
      } else if (nowNanos - step.startedAtNanos >= STEP_MILLIS * MS) {
        endStep(nowNanos);
      }
    }
  }

  private void endStep(long nowNanos) {
    double seconds = (nowNanos - step.startedAtNanos) / 1e9;
    double admittedRate = step.admitted / seconds;
    double succeededRate = step.succeeded / seconds;
    // What was admitted a step ago has succeeded by now, or is late.
    int expected = Math.min(step.admitted, previousStep.admitted);
    if (step.succeeded >= MIN_SUCCESSES_TO_RAISE * expected
        && admittedRate >= MIN_USE_TO_RAISE * Math.min(rate, admittedRate + 1)) {
      enter(Phase.RAMP_UP, nowNanos);
      rate = rate * RATE_FACTOR;
    } else if (step.succeeded < MIN_SUCCESSES_TO_KEEP * expected) {
      rate = Math.max(initialRate, succeededRate * RATE_FACTOR);
    }
    previousStep = step;
    step = new Step(nowNanos);
  }

  /**
   * Whether a request is admitted.
   *
   * @param continued whether it continues a client's session: such come before new ones
   */
  public boolean tryAdmit(long nowNanos, boolean continued) {
    if (phase == Phase.SERVING) {
      return true;
    }
    if (phase != Phase.LEARNING) {
      double maxTokens = 1 + rate * BURST_SECONDS;
      tokens = Math.min(maxTokens, tokens + rate * (nowNanos - refilledAtNanos) / 1e9);
      refilledAtNanos = nowNanos;
      if (tokens >= (continued ? 1 : 1 + (maxTokens - 1) / 4)) {
        tokens--;
        step.admitted++;
        return true;
      }
    }
    step.rejected++;
    lastRejectedNanos = nowNanos;
    return false;
  }

  /** An admitted request has succeeded in time. */
  public void requestSucceeded() {
    step.succeeded++;
  }

  /**
   * When a rejected client is to come back: by how many are rejected and admitted, spread at
   * random.
   *
   * @param continued whether its request continues a session: such come back in half the time
   * @return 0 where clients can't be told
   */
  public long retryAfterNanos(boolean continued) {
    if (maxRetryAfterNanos == 0) {
      return 0;
    }
    double perSecond = Math.max(1, phase == Phase.LEARNING ? 1 : rate);
    double backlogSeconds = Math.max(step.rejected, previousStep.rejected) / perSecond * 2;
    double longest = maxRetryAfterNanos;
    long span =
        (long)
            Math.max(
                Math.min(MIN_RETRY_AFTER_NANOS, longest),
                Math.min(longest, backlogSeconds * SECOND));
    long wait = span / 2 + random.nextLong(Math.max(1, span / 2));
    return continued ? wait / 2 : wait;
  }

  /** Since when it is SERVING; 0 before. */
  public long servingSinceNanos() {
    return servingSinceNanos;
  }
}
