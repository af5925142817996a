package org.amberpath.routing;

/**
 * How long to wait after a system call that failed for want of something on this host: briefly,
 * since it is often there again within milliseconds, and longer with each failure in a row, so that
 * no loop spins.
 */
public final class LocalBackoff {
  private static final long FIRST_MILLIS = 10;
  private static final long MAX_MILLIS = 100;

  /**
   * Failures in a row after which who waits is better served elsewhere: by then 150 ms have passed.
   */
  private static final int MAX_FAILURES = 5;

  private long nextMillis = FIRST_MILLIS;
  private int failures;

  /** Notes a failure; returns for how many milliseconds the call is not made again. */
  public long attemptFailed() {
    long pauseMillis = nextMillis;
    nextMillis = Math.min(MAX_MILLIS, 2 * pauseMillis);
    failures = Math.min(MAX_FAILURES, failures + 1);
    return pauseMillis;
  }

  /** Notes that the call got through to the other side, whatever that said. */
  public void attemptSucceeded() {
    nextMillis = FIRST_MILLIS;
    failures = 0;
  }

  /** Whether the last call failed. */
  public boolean isFailing() {
    return failures > 0;
  }

  /** Whether it has failed for so long that who waits for it should turn elsewhere. */
  public boolean isExhausted() {
    return failures == MAX_FAILURES;
  }
}
