package org.amberpath.registry;

import java.util.SplittableRandom;

/**
 * When something that failed may be tried again: full jitter under a bound that doubles.
 * Nanoseconds.
 */
public final class Backoff {
  private static final int MOST_DOUBLINGS = 20;

  private final SplittableRandom chance;
  private final long first, most;
  private int failures;
  private long notBefore;

  /** One that has seen no failure: the first bound, and the one that it doubles up to. */
  public Backoff(SplittableRandom chance, long first, long most) {
    this.chance = chance;
    this.first = first;
    this.most = most;
  }

  /** Whether the last try failed. */
  public boolean isFailing() {
    return failures > 0;
  }

  /** Whether it may be tried now. */
  public boolean allows(long now) {
    return now >= notBefore;
  }

  /**
   * Another failure: the next try comes after at least the given time, and by chance up to the
   * bound after that.
   */
  public void failed(long now, long atLeast) {
    long bound = Math.min(most, first << Math.min(failures, MOST_DOUBLINGS));
    failures++;
    notBefore = now + atLeast + chance.nextLong(bound + 1);
  }

  /** A try went well: the next may come at once. */
  public void succeeded() {
    failures = 0;
    notBefore = 0;
  }

  /** Brings the next try forward, to some moment within the bound. */
  public void hasten(long now, long bound) {
    if (notBefore > now + bound) {
      notBefore = now + chance.nextLong(bound + 1);
    }
  }
}
