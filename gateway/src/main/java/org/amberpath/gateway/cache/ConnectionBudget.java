package org.amberpath.gateway.cache;

/**
 * How many connections several pools hold together, and may hold. Guards the limit of descriptors
 * where there are more caches than it has room for.
 */
public final class ConnectionBudget {
  private final int max;
  private final Runnable reclaim;
  private int open;

  /**
   * A budget.
   *
   * @param max the most connections of all pools together
   * @param reclaim closes an idle connection, if there is one
   */
  public ConnectionBudget(int max, Runnable reclaim) {
    this.max = max;
    this.reclaim = reclaim;
  }

  /** Whether one more may be opened. */
  boolean hasCapacity() {
    return open < max;
  }

  /** Has an idle connection closed where there is no capacity. */
  void reclaimIfFull() {
    if (!hasCapacity()) {
      reclaim.run();
    }
  }

  /** A connection is being opened. */
  void opened() {
    open++;
  }

  /** One that was opened is closed, or did not come up. */
  void closed() {
    open--;
  }
}
