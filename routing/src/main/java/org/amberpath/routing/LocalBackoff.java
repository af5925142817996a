package org.amberpath.routing;

/**
 * The backoff after a system call that failed for lack of a resource of this host: short, since the
 * resource is often free within milliseconds, and doubled with each failure in a row. Guards
 * against a spinning loop.
 */
public final class LocalBackoff {
  private static final long FIRST_MILLIS = 10;
  private static final long MAX_MILLIS = 100;

  /**
   * Failures in a row after which waiting requests should go elsewhere: by then 150 ms have passed.
   */
  private static final int MAX_FAILURES = 5;

  private long nextMillis = FIRST_MILLIS;
  private int failures;

  /** Records a failure; returns the backoff in milliseconds. */
  public long attemptFailed() {
    long pauseMillis = nextMillis;
    nextMillis = Math.min(MAX_MILLIS, 2 * pauseMillis);
    failures = Math.min(MAX_FAILURES, failures + 1);
    return pauseMillis;
  }

  /** Records that the call reached the other side, whatever the result. */
  public void attemptSucceeded() {
    nextMillis = FIRST_MILLIS;
    failures = 0;
  }

  /** Whether the last call failed. */
  public boolean isFailing() {
    return failures > 0;
  }

  /** Whether it has failed for so long that requests should not wait for it. */
  public boolean isExhausted() {
    return failures == MAX_FAILURES;
  }
}
