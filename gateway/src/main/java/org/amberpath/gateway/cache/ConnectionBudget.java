package org.amberpath.gateway.cache;

/**
 * How many connections several pools hold together, and may hold. Guards the limit of descriptors
 * where there are more caches than it has room for.
 */
public final class ConnectionBudget {
  private final int most;
  private final Runnable reclaim;
  private int open;

  /** A budget that runs reclaim, to have a free connection closed, before one past it is asked. */
  public ConnectionBudget(int most, Runnable reclaim) {
    this.most = most;
    this.reclaim = reclaim;
  }

  /** Whether one more may be opened. */
  boolean hasRoom() {
    return open < most;
  }

  /** Has a free connection closed where there is no room. */
  void makeRoom() {
    if (!hasRoom()) {
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
