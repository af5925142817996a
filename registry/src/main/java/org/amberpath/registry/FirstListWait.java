package org.amberpath.registry;

/**
 * Decides how long a gateway that has just started waits for the registry's first list. Guards
 * against requests that are routed by the snapshot of an earlier run, to endpoints that drain and
 * to copies that were purged meanwhile, while the registry answers slowly. Where the registry is
 * away, the snapshot is used after the wait. Times are nanoseconds of one monotonic clock.
 */
public final class FirstListWait {
  /** Three times the time after which a registry without responses counts as cut off. */
  private static final long MAX_WAIT_NANOS = 3_000_000_000L;

  private final long startedAtNanos;
  private boolean ended;

  /** Creates the wait of a source that starts now. */
  public FirstListWait(long startedAtNanos) {
    this.startedAtNanos = startedAtNanos;
  }

  /**
   * Returns whether the gateway still waits; once false, it stays false.
   *
   * @param isCurrent whether the registry's list has been received, and nothing newer is known
   */
  public boolean isWaiting(long nowNanos, boolean isCurrent) {
    ended |= isCurrent || nowNanos - startedAtNanos >= MAX_WAIT_NANOS;
    return !ended;
  }
}
