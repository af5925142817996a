package org.amberpath.registry;

import java.util.SplittableRandom;

/**
 * Exponential backoff with full jitter: each failure delays the next attempt by a random part of a
 * bound that doubles up to a maximum. Times are nanoseconds.
 */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final SplittableRandom random;
  private final long firstBoundNanos;
  private final long maxBoundNanos;
  private int failures;
  private long allowedAtNanos;

  /**
   * Creates a backoff without a recorded failure.
   *
   * @param random source of the jitter
   * @param firstBoundNanos bound of the random delay after the first failure
   * @param maxBoundNanos limit up to which each further failure doubles the bound
   */
  public Backoff(SplittableRandom random, long firstBoundNanos, long maxBoundNanos) {
    this.random = random;
    this.firstBoundNanos = firstBoundNanos;
    this.maxBoundNanos = maxBoundNanos;
  }

  /** Whether an attempt has failed since the last {@link #reset}. */
  public boolean isFailing() {
    return failures > 0;
  }

  /** Whether the next attempt is allowed at the given time. */
  public boolean allows(long nowNanos) {
    return nowNanos >= allowedAtNanos;
  }

  /**
   * Records a failed attempt; the next one is allowed after the minimum delay plus a random part of
   * the current bound.
   *
   * @param minDelayNanos delay that is added to the random part, for example a server's Retry-After
   */
  public void recordFailure(long nowNanos, long minDelayNanos) {
    long boundNanos = Math.min(maxBoundNanos, firstBoundNanos << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    allowedAtNanos = nowNanos + minDelayNanos + random.nextLong(boundNanos + 1);
  }

  /** Clears the recorded failures after a success; the next attempt is allowed at once. */
  public void reset() {
    failures = 0;
    allowedAtNanos = 0;
  }

  /**
   * Moves an attempt that is allowed only after {@code nowNanos + boundNanos} to a random time
   * within that bound. An earlier attempt keeps its time.
   */
  public void bringForward(long nowNanos, long boundNanos) {
    if (allowedAtNanos > nowNanos + boundNanos) {
      allowedAtNanos = nowNanos + random.nextLong(boundNanos + 1);
    }
  }
}
