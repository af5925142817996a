package org.amberpath.routing;

/**
 * Receives discovery events about endpoints and purges, in order, from any source: the journal or a
 * registry. All calls come on the event loop that owns the gateway. Times are Unix milliseconds.
 */
public interface EndpointListener {
  /** The group of a purge of all objects of all groups. */
  int ALL_GROUPS = -1;

  /**
   * Begins an endpoint list; its endpoints follow, then {@link #endpointListCompleted}.
   *
   * @param kind {@link EndpointListKind#FULL} replaces all endpoints that are known
   */
  void endpointListStarted(EndpointListKind kind);

  /** Reports one endpoint of the list that has begun. */
  void endpointListed(ListedEndpoint endpoint);

  /** Completes the list: all of its endpoints have been reported. */
  void endpointListCompleted();

  /**
   * Reports a purge of an object or a group.
   *
   * @param object the object's id; 0 for all objects of the group
   * @param group the purge group, or {@link #ALL_GROUPS}
   * @param atMillis the time of the purge, by the clock of the host that wrote it
   */
  void objectPurged(long object, int group, long atMillis);
}
