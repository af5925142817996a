package org.amberpath.gateway.cache;

/**
 * Counts and bounds the connections of several pools together, so that the descriptors suffice even
 * if there are more caches than connections can be opened. Pools check the bound before each
 * connect.
 */
public final class ConnectionBudget {
  private final int max;
  private final Runnable reclaim;
  private int open;

  /**
   * Creates a budget of which nothing is used.
   *
   * @param max maximum number of connections of all pools together
   * @param reclaim closes an idle connection of any pool, if there is one
   */
  public ConnectionBudget(int max, Runnable reclaim) {
    this.max = max;
    this.reclaim = reclaim;
  }

  /** Returns whether one more connection may be opened. */
  boolean hasCapacity() {
    return open < max;
  }

  /** Closes an idle connection of any pool if no further one may be opened. */
  void reclaimIfFull() {
    if (!hasCapacity()) {
      reclaim.run();
    }
  }

  /** Counts a connection that is being opened. */
  void opened() {
    open++;
  }

  /** Counts down a connection that was closed or could not be established. */
  void closed() {
    open--;
  }
}
