package org.amberpath.registry;

import java.util.SplittableRandom;

/**
 * When something that failed may be tried again: full jitter under a bound that doubles.
 * Nanoseconds.
 */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final SplittableRandom random;
  private final long firstBoundNanos;
  private final long maxBoundNanos;
  private int failures;
  private long allowedAtNanos;

  /** One that has seen no failure: the first bound, and the one that it doubles up to. */
  public Backoff(SplittableRandom random, long firstBoundNanos, long maxBoundNanos) {
    this.random = random;
    this.firstBoundNanos = firstBoundNanos;
    this.maxBoundNanos = maxBoundNanos;
  }

  /** Whether the last try failed. */
  public boolean isFailing() {
    return failures > 0;
  }

  /** Whether it may be tried now. */
  public boolean allows(long nowNanos) {
    return nowNanos >= allowedAtNanos;
  }

  /**
   * Another failure: the next try is allowed after the given time and a random part of the bound.
   */
  public void recordFailure(long nowNanos, long minDelayNanos) {
    long boundNanos = Math.min(maxBoundNanos, firstBoundNanos << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    allowedAtNanos = nowNanos + minDelayNanos + random.nextLong(boundNanos + 1);
  }

  /** A try has succeeded: the next one is allowed at once. */
  public void reset() {
    failures = 0;
    allowedAtNanos = 0;
  }

  /** Allows the next try no later than a random moment within the bound. */
  public void bringForward(long nowNanos, long boundNanos) {
    if (allowedAtNanos > nowNanos + boundNanos) {
      allowedAtNanos = nowNanos + random.nextLong(boundNanos + 1);
    }
  }
}
