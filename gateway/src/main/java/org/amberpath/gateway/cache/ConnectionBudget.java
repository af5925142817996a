package org.amberpath.gateway.cache;

/**
 * Counts and bounds the connections of several pools together, so that the descriptors suffice even
 * if there are more caches than connections can be opened. Pools check the bound before each
 * connect.
 */
public final class ConnectionBudget {
  private final int maxConnections;
  private final Runnable closeIdleConnection;
  private int openConnections;

  /**
   * Creates a budget of which nothing is used.
   *
   * @param maxConnections maximum number of connections of all pools together
   * @param closeIdleConnection closes an idle connection of any pool, if there is one
   */
  public ConnectionBudget(int maxConnections, Runnable closeIdleConnection) {
    this.maxConnections = maxConnections;
    this.closeIdleConnection = closeIdleConnection;
  }

  /** Returns whether one more connection may be opened. */
  boolean hasCapacity() {
    return openConnections < maxConnections;
  }

  /** Closes an idle connection of any pool if no further one may be opened. */
  void closeIdleIfFull() {
    if (!hasCapacity()) {
      closeIdleConnection.run();
    }
  }

  /** Counts a connection that is being opened. */
  void connectionOpened() {
    openConnections++;
  }

  /** Counts down a connection that was closed or could not be established. */
  void connectionClosed() {
    openConnections--;
  }
}
