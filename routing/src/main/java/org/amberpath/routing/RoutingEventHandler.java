package org.amberpath.routing;

/** The callbacks. */
public interface RoutingEventHandler {
  /**
   * A list of caches begins; its members follow under stable ids, then {@link
   * #endpointListCompleted}.
   */
  void endpointListStarted(EndpointListKind what);

  void endpointListed(
      int cache,
      String id,
      String zone,
      String kind,
      int cell,
      EndpointState state,
      double weight,
      long startedAt);

  void endpointListCompleted();

  /**
   * A GET came in. timeLeft is how long its viewer still waits; kb is 0 where the size is not told.
   */
  void requestReceived(
      long id,
      int trafficClass,
      long object,
      int group,
      int part,
      long timeLeft,
      double kb,
      boolean write);

  /** A streamed answer has begun. */
  void responseStarted(long id, int copy);

  /**
   * A forward has ended; took is without what the gateway stood still; settled tells that the GET
   * has ended, too.
   */
  void attemptEnded(
      long id,
      int copy,
      int cache,
      AttemptOutcome outcome,
      long took,
      boolean settled,
      ResponseDetail note);

  /** The viewer left. */
  void clientDisconnected(long id);

  /** An object, or with object 0 a whole group, was purged this long ago. */
  void objectPurged(long object, int group, long ago);

  void timerFired(String handle);

  /**
   * How many gateways share what the site bounds, the told number or more, and this one's part of
   * it: 0 while it may take none. Until this comes, the site's own number holds.
   */
  void gatewayShareChanged(int many, double part);

  /** Whether one gateway tries for all, by GETs of its own, the caches that are set aside. */
  void healthChecksDelegated(boolean forAll);

  /**
   * Whoever tries for the fleet asked a cache this long ago, after others had set it aside; whether
   * it answered.
   */
  void healthReported(int cache, boolean answers, long ago);

  /**
   * A GET of this gateway's own, on behalf of the fleet, of a delivery service that may be
   * repeated: to a cache that is to be tried, or with cache -1 to one that has just started, if
   * that is the object's by the hash.
   */
  void syntheticRequestReceived(
      long id,
      int trafficClass,
      long object,
      int group,
      int part,
      long timeLeft,
      double kb,
      int cache);
}
