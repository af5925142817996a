package org.amberpath.routing;

/**
 * The exponential backoff after a system call that failed for lack of a resource of this host. It
 * is short, since the resource is often free again within milliseconds, and doubles with each
 * consecutive failure. Guards against a busy loop.
 */
public final class LocalBackoff {
  private static final long INITIAL_MILLIS = 10;
  private static final long MAX_MILLIS = 100;

  /**
   * Consecutive failures after which requests should not wait any longer: by then 150 ms have
   * passed.
   */
  private static final int MAX_FAILURES = 5;

  private long nextMillis = INITIAL_MILLIS;
  private int failures;

  /** Records a failure; returns the backoff in milliseconds. */
  public long attemptFailed() {
    long backoffMillis = nextMillis;
    nextMillis = Math.min(MAX_MILLIS, 2 * backoffMillis);
    failures = Math.min(MAX_FAILURES, failures + 1);
    return backoffMillis;
  }

  /** Resets the backoff: the call has reached the other side, whatever its result. */
  public void attemptSucceeded() {
    nextMillis = INITIAL_MILLIS;
    failures = 0;
  }

  /** Whether the last call failed. */
  public boolean isFailing() {
    return failures > 0;
  }

  /** Whether the call has failed so often that requests should not wait for it. */
  public boolean isExhausted() {
    return failures == MAX_FAILURES;
  }
}
