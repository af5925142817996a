package org.amberpath.recovery;

import java.util.SplittableRandom;

/**
 * Admission control of a gateway that has started at the same time as all others. The admitted rate
 * depends on how many of the previously admitted requests have succeeded in time. Times are
 * nanoseconds of one monotonic clock. This class does not choose endpoints.
 */
public final class RecoveryRamp {
  /** The phases, in order; none is entered twice. */
  public enum Phase {
    /**
     * Nothing is admitted, because the endpoints and purges are not known yet, or it is not known
     * whether other gateways run.
     */
    LEARNING,
    /** The admitted rate is what this gateway's share of the slow-start budgets allows. */
    INITIAL_RATE,
    /**
     * The admitted rate grows by half each {@value #STEP_MILLIS} ms while enough requests succeed,
     * and falls to {@value #RATE_FACTOR} times the rate of successes, but not below the initial
     * rate, if too few succeed.
     */
    RAMP_UP,
    /**
     * Everything is admitted, because nothing had to be rejected for a while, or because other
     * gateways did not restart.
     */
    SERVING
  }

  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;
  private static final int STEP_MILLIS = 500;
  private static final long MAX_LEARNING_NANOS = 3 * SECOND;
  private static final long MIN_RETRY_AFTER_NANOS = 100 * MS;

  /** The time without a rejection after which everything is admitted. */
  private static final long MIN_NANOS_WITHOUT_REJECTION = 2 * SECOND;

  private static final double RATE_FACTOR = 1.5;

  /** The rate is raised only if at least this fraction of the admitted requests has succeeded. */
  private static final double MIN_SUCCESS_FRACTION_TO_RAISE = 0.8;

  /** The rate is raised only if at least this fraction of it was used. */
  private static final double MIN_USED_FRACTION_TO_RAISE = 0.8;

  /** The rate is lowered if less than this fraction of the admitted requests has succeeded. */
  private static final double MIN_SUCCESS_FRACTION_TO_KEEP = 0.5;

  private static final double BURST_SECONDS = 0.25;

  /** The counters of one step, which lasts {@value #STEP_MILLIS} ms. */
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

  /** Requests per second. */
  private double initialRate;

  private double rate;

  /** The tokens in the bucket: how many requests may be admitted at once. */
  private double tokens;

  private long refilledAtNanos;
  private long lastRejectedNanos;
  private long servingSinceNanos;
  private Step step = new Step(0);
  private Step previousStep = new Step(0);

  /**
   * Creates the admission control of a gateway that starts now.
   *
   * @param seed the seed of the random spread of {@link #retryAfterNanos}
   * @param maxRetryAfterNanos the maximum of {@link #retryAfterNanos}; 0 if clients cannot be told
   *     when to retry
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

  /** Returns how many requests per second are admitted now. */
  public double rate() {
    return switch (phase) {
      case LEARNING -> 0;
      case INITIAL_RATE, RAMP_UP -> rate;
      case SERVING -> Double.MAX_VALUE;
    };
  }

  /**
   * Ends the learning phase: endpoints and purges are known, or their sources have failed.
   *
   * @param allRestarted whether all gateways have started at the same time, as far as reports of
   *     the others and endpoints in slow start show
   * @param ratePerSecond the requests per second that this gateway's share of the slow-start
   *     budgets allows
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
    Step firstStep = new Step(nowNanos);
    firstStep.rejected = step.rejected;
    firstStep.succeeded = step.succeeded;
    step = firstStep;
    enter(allRestarted ? Phase.INITIAL_RATE : Phase.SERVING, nowNanos);
  }

  /** Changes the phase; nothing else assigns it. */
  private void enter(Phase next, long nowNanos) {
    phase = next;
    if (next == Phase.SERVING) {
      servingSinceNanos = nowNanos;
    }
  }

  /**
   * Called several times per step. If sources neither answer nor fail within {@link
   * #MAX_LEARNING_NANOS}, the learning phase ends without them.
   */
  public void tick(long nowNanos) {
    if (phase == Phase.LEARNING && nowNanos - startedAtNanos >= MAX_LEARNING_NANOS) {
      startupCompleted(nowNanos, true, 1);
    }
    if (phase == Phase.INITIAL_RATE || phase == Phase.RAMP_UP) {
      if (nowNanos - lastRejectedNanos >= MIN_NANOS_WITHOUT_REJECTION) {
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
    // Requests that were admitted in the previous step have succeeded by now, or are late.
    int expected = Math.min(step.admitted, previousStep.admitted);
    if (step.succeeded >= MIN_SUCCESS_FRACTION_TO_RAISE * expected
        && admittedRate >= MIN_USED_FRACTION_TO_RAISE * Math.min(rate, admittedRate + 1)) {
      enter(Phase.RAMP_UP, nowNanos);
      rate = rate * RATE_FACTOR;
    } else if (step.succeeded < MIN_SUCCESS_FRACTION_TO_KEEP * expected) {
      rate = Math.max(initialRate, succeededRate * RATE_FACTOR);
    }
    previousStep = step;
    step = new Step(nowNanos);
  }

  /**
   * Returns whether a request is admitted.
   *
   * @param continuesSession whether the request continues a client's session; such requests take
   *     precedence over new sessions
   */
  public boolean tryAdmit(long nowNanos, boolean continuesSession) {
    if (phase == Phase.SERVING) {
      return true;
    }
    if (phase != Phase.LEARNING) {
      double maxTokens = 1 + rate * BURST_SECONDS;
      tokens = Math.min(maxTokens, tokens + rate * (nowNanos - refilledAtNanos) / 1e9);
      refilledAtNanos = nowNanos;
      if (tokens >= (continuesSession ? 1 : 1 + (maxTokens - 1) / 4)) {
        tokens--;
        step.admitted++;
        return true;
      }
    }
    step.rejected++;
    lastRejectedNanos = nowNanos;
    return false;
  }

  /** Records that an admitted request has succeeded in time. */
  public void requestSucceeded() {
    step.succeeded++;
  }

  /**
   * Returns after what time a rejected client should retry, which depends on the numbers of
   * rejected and admitted requests and is spread at random.
   *
   * @param continuesSession whether the client's request continues a session; such clients retry
   *     after half the time
   * @return the time in nanoseconds; 0 if clients cannot be told when to retry
   */
  public long retryAfterNanos(boolean continuesSession) {
    if (maxRetryAfterNanos == 0) {
      return 0;
    }
    double perSecond = Math.max(1, phase == Phase.LEARNING ? 1 : rate);
    double backlogSeconds = Math.max(step.rejected, previousStep.rejected) / perSecond * 2;
    double maxNanos = maxRetryAfterNanos;
    long maxWaitNanos =
        (long)
            Math.max(
                Math.min(MIN_RETRY_AFTER_NANOS, maxNanos),
                Math.min(maxNanos, backlogSeconds * SECOND));
    long waitNanos = maxWaitNanos / 2 + random.nextLong(Math.max(1, maxWaitNanos / 2));
    return continuesSession ? waitNanos / 2 : waitNanos;
  }

  /** Returns when the SERVING phase began; 0 before. */
  public long servingSinceNanos() {
    return servingSinceNanos;
  }
}
