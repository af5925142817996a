package org.amberpath.routing;

/**
 * Takes news of caches and purges, in order, whatever their source: the journal or a registry.
 * Times are Unix milliseconds.
 */
public interface EndpointListener {
  /** The group of a purge that means all objects of all groups. */
  int ALL_GROUPS = -1;

  /**
   * A list begins; its members follow, then {@link #endpointListCompleted}. Whole replaces all that
   * was known.
   */
  void endpointListStarted(boolean whole);

  /**
   * One cache of the list that has begun.
   *
   * @param id stable; the same id after {@link EndpointState#GONE} is another cache
   * @param address IP address and port; empty for the one known
   * @param cell the shelf or rack, 0 where none is told
   * @param weight its size, in the site's measure; 1 where none is told
   * @param startedAtMs when it started cold, 0 for long ago
   */
  void endpointListed(
      String id,
      String address,
      String zone,
      String kind,
      int cell,
      EndpointState state,
      double weight,
      long startedAtMs);

  void endpointListCompleted();

  /** An object or, with object 0, a group was purged, or all with {@link #ALL_GROUPS}. */
  void objectPurged(long object, int group, long atMs);
}
