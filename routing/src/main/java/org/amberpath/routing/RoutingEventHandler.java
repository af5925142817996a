package org.amberpath.routing;

/** Receives the events of a batch. Endpoints go by small indices; durations are nanoseconds. */
public interface RoutingEventHandler {
  /** The endpoint of a synthetic request that names none: a prefetch. */
  int NO_ENDPOINT = -1;

  /** A list of endpoints begins; they follow, then {@link #endpointListCompleted}. */
  void endpointListStarted(EndpointListKind kind);

  /** One endpoint of the list that has begun. */
  void endpointListed(EndpointDescription endpoint);

  /** All endpoints of the list have been reported. */
  void endpointListCompleted();

  /** A client's request arrived. */
  void requestReceived(RequestDetails request);

  /**
   * The gateway makes a request of its own on behalf of the fleet, of a class that may be repeated:
   * a health check of an endpoint or, with {@link #NO_ENDPOINT}, a prefetch into the one that has
   * just started and that the hash gives the object to.
   */
  void syntheticRequestReceived(RequestDetails request, int endpoint);

  /** A streamed response has begun. */
  void responseStarted(long requestId, int attempt);

  /** An attempt ended. */
  void attemptEnded(AttemptResult result);

  /** The client closed its connection or cancelled the request. */
  void clientDisconnected(long requestId);

  /** An object or, with object 0, a whole group was purged this long ago. */
  void objectPurged(long object, int group, long ageNanos);

  /** A timer that was scheduled under this handle is due. */
  void timerFired(String handle);

  /**
   * How many gateways share what the configuration bounds, the configured number or more, and this
   * one's share of it, 0 to 1: 0 while it may take none. Until this comes, the configured number
   * holds.
   */
  void gatewayShareChanged(int gateways, double share);

  /** Whether one gateway makes the health checks of ejected endpoints for all. */
  void healthChecksDelegated(boolean delegated);

  /** What the gateway that makes the health checks found, and how long ago. */
  void healthReported(int endpoint, boolean responded, long ageNanos);
}
