package org.amberpath.routing;

/**
 * Receives discovery events about endpoints and purges, in order, whatever their source: the
 * journal or a registry. All calls come on the event loop that owns the gateway. Times are Unix
 * milliseconds.
 */
public interface EndpointListener {
  /** The group of a purge that means all objects of all groups. */
  int ALL_GROUPS = -1;

  /**
   * A list begins; its endpoints follow, then {@link #endpointListCompleted}.
   *
   * @param kind {@link EndpointListKind#FULL} replaces all that was known
   */
  void endpointListStarted(EndpointListKind kind);

  /** One endpoint of the list that has begun. */
  void endpointListed(ListedEndpoint endpoint);

  /** All endpoints of the list have been reported. */
  void endpointListCompleted();

  /**
   * An object was purged.
   *
   * @param object the object's id; 0 for a whole group
   * @param group the purge group, or {@link #ALL_GROUPS}
   * @param atMillis when, by the clock of whoever wrote the purge
   */
  void objectPurged(long object, int group, long atMillis);
}
