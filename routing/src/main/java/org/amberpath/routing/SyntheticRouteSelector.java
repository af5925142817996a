package org.amberpath.routing;

/**
 * Selects the routes of synthetic requests, which this gateway makes on behalf of the fleet: only
 * idempotent ones, only to edge caches, and only within the budget of slow start. Source:
 * docs/design.md, "Reports of one gateway for all".
 */
final class SyntheticRouteSelector {
  private final EndpointTable endpoints;
  private final RouteSelector routes;
  private final SegmentAdmission admission;
  private final SlowStart slowStart;
  private final OutlierDetector outlierDetector;
  private final ConcurrencyLimiter limiter;

  /** Creates a selector that shares the state of the selector for client requests. */
  SyntheticRouteSelector(
      EndpointTable endpoints,
      RouteSelector routes,
      SegmentAdmission admission,
      SlowStart slowStart,
      OutlierDetector outlierDetector,
      ConcurrencyLimiter limiter) {
    this.endpoints = endpoints;
    this.routes = routes;
    this.admission = admission;
    this.slowStart = slowStart;
    this.outlierDetector = outlierDetector;
    this.limiter = limiter;
  }

  /**
   * Returns the route of a synthetic request and sets the request's purpose and rank; null if the
   * request may not be sent.
   *
   * @param endpointIndex the endpoint to check, or {@link RoutingEventHandler#NO_ENDPOINT} for a
   *     prefetch
   */
  Route select(InFlightRequest request, int endpointIndex, long nowNanos) {
    if (endpointIndex < 0) {
      request.purpose = InFlightRequest.Purpose.PREFETCH;
      request.rank = admission.prefetchRankOf(request.object);
      return selectPrefetch(request, nowNanos);
    }
    request.purpose = InFlightRequest.Purpose.HEALTH_CHECK;
    return selectHealthCheck(request, endpointIndex, nowNanos);
  }

  /**
   * Returns the route of a prefetch: one of an object's first segments, sent to an edge cache that
   * is warming up, if rendezvous hashing selects that cache for the object; else null.
   */
  Route selectPrefetch(InFlightRequest request, long nowNanos) {
    Endpoint edge = routes.selectPrefetchEdge(request, nowNanos);
    Endpoint source = routes.selectSource(request, nowNanos);
    boolean isPermitted =
        isEligibleTarget(request, edge)
            && source != null
            && SegmentAdmission.isStart(request.segment)
            && slowStart.tryPrefetch(edge, request.trafficClass, nowNanos);
    return isPermitted
        ? new Route(edge, source, limiter.mustNotFillFromOrigin(request, nowNanos))
        : null;
  }

  /**
   * Returns the route of a health check, which is answered from cached copies only; null if this
   * gateway's budget or the outlier detector does not permit one.
   */
  Route selectHealthCheck(InFlightRequest request, int endpointIndex, long nowNanos) {
    Endpoint endpoint = endpoints.get(endpointIndex);
    boolean isPermitted =
        isEligibleTarget(request, endpoint)
            && slowStart.hasBudgetFor(endpoint, request.trafficClass, nowNanos)
            && outlierDetector.permitsHealthCheck(endpoint, nowNanos);
    return isPermitted ? new Route(endpoint, null, true) : null;
  }

  private static boolean isEligibleTarget(InFlightRequest request, Endpoint endpoint) {
    return endpoint != null
        && endpoint.isUp()
        && endpoint.isEdge()
        && request.trafficClass.idempotency() == Idempotency.IDEMPOTENT;
  }
}
