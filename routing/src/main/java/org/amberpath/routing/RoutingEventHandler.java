package org.amberpath.routing;

/**
 * Receives the events of a batch. An endpoint is identified by a small index; durations are
 * nanoseconds.
 */
public interface RoutingEventHandler {
  /** The endpoint index of a synthetic request without an endpoint, which is a prefetch. */
  int NO_ENDPOINT = -1;

  /** Begins an endpoint list; its endpoints follow, then {@link #endpointListCompleted}. */
  void endpointListStarted(EndpointListKind kind);

  /** Reports one endpoint of the list that has begun. */
  void endpointListed(EndpointDescription endpoint);

  /** Completes the list: all of its endpoints have been reported. */
  void endpointListCompleted();

  /** Reports that a client's request has arrived. */
  void requestReceived(RequestDetails request);

  /**
   * Reports a synthetic request that the gateway makes on behalf of the fleet, of an idempotent
   * class.
   *
   * @param endpoint the endpoint whose health is checked, or {@link #NO_ENDPOINT} for a prefetch
   *     into the edge cache that the hash selects, which must have started recently
   */
  void syntheticRequestReceived(RequestDetails request, int endpoint);

  /** Reports that the response of an attempt has begun to stream to the client. */
  void responseStarted(long requestId, int attempt);

  /** Reports that an attempt has ended. */
  void attemptEnded(AttemptResult result);

  /** Reports that the client has closed its connection or cancelled the request. */
  void clientDisconnected(long requestId);

  /**
   * Reports a purge.
   *
   * @param object the purged object; 0 for all objects of the group
   * @param ageNanos time since the purge
   */
  void objectPurged(long object, int group, long ageNanos);

  /** Reports that the timer that was scheduled under this handle has fired. */
  void timerFired(String handle);

  /**
   * Reports how many gateways share what the configuration bounds, and this gateway's share of it.
   * Until the first report the configured number applies.
   *
   * @param gateways the number of gateways in the fleet; one below the configured number has no
   *     effect
   * @param share this gateway's share, 0 to 1; 0 while it may not use any
   */
  void gatewayShareChanged(int gateways, double share);

  /**
   * Reports whether one gateway, which may be this one, makes the health checks of ejected
   * endpoints on behalf of all.
   */
  void healthChecksDelegated(boolean delegated);

  /**
   * Reports the result of a health check by the gateway that makes them on behalf of all.
   *
   * @param responded whether the endpoint responded to the check
   * @param ageNanos time since the check was sent
   */
  void healthReported(int endpoint, boolean responded, long ageNanos);
}
