package org.amberpath.routing;

/**
 * Decides whether another request may wait to be routed. Guards against a client that sends
 * requests and cancels them at once: none of them is open for long, but each waits in the queue
 * until the router has been told of it, and all other requests wait behind it.
 */
public final class RoutingQueueLimit {
  /** Twice the requests that a client may have in flight. */
  private static final int MAX_WAITING_OF_CLIENT = 64;

  /** Requests of all clients that are routed in about a tenth of a second. */
  private static final int MAX_WAITING = 4096;

  private RoutingQueueLimit() {}

  /**
   * Returns whether another request of a client may be queued.
   *
   * @param waitingOfClient requests of the client with events that were not routed yet
   * @param waiting requests of all clients with events that were not routed yet
   */
  public static boolean permits(int waitingOfClient, int waiting) {
    return waitingOfClient < MAX_WAITING_OF_CLIENT && waiting < MAX_WAITING;
  }
}
