package org.amberpath.routing;

/**
 * The routes of requests that this gateway makes by itself, on behalf of the fleet: only what may
 * be repeated, only to edge caches, and only within what slow start leaves. Source: docs/design.md,
 * "Told by one for all".
 */
final class SyntheticRouteSelector {
  private final EndpointTable endpoints;
  private final RouteSelector routes;
  private final SlowStart slowStart;
  private final OutlierDetector outlierDetector;
  private final ConcurrencyLimiter limiter;

  /** A selector beside the one for clients' requests. */
  SyntheticRouteSelector(
      EndpointTable endpoints,
      RouteSelector routes,
      SlowStart slowStart,
      OutlierDetector outlierDetector,
      ConcurrencyLimiter limiter) {
    this.endpoints = endpoints;
    this.routes = routes;
    this.slowStart = slowStart;
    this.outlierDetector = outlierDetector;
    this.limiter = limiter;
  }

  /**
   * The route of an object's start to the edge cache that is warming up, if the object is that
   * cache's; else null.
   */
  Route selectPrefetch(InFlightRequest request, long nowNanos) {
    Endpoint edge = routes.selectPrefetchEdge(request, nowNanos);
    Endpoint source = routes.selectSource(request, nowNanos);
    boolean permitted =
        isTarget(request, edge)
            && source != null
            && SegmentAdmission.isStart(request.segment)
            && slowStart.tryPrefetch(edge, request.trafficClass, nowNanos);
    return permitted ? new Route(edge, source, limiter.isOriginSaturated(request, nowNanos)) : null;
  }

  /**
   * The route of a health check, out of this gateway's budget and for no more than is cached; null
   * if it may not go.
   */
  Route selectHealthCheck(InFlightRequest request, int endpointIndex, long nowNanos) {
    Endpoint endpoint = endpoints.get(endpointIndex);
    boolean permitted =
        isTarget(request, endpoint)
            && slowStart.affords(endpoint, request.trafficClass, nowNanos)
            && outlierDetector.permitsHealthCheck(endpoint, nowNanos);
    return permitted ? new Route(endpoint, null, true) : null;
  }

  private static boolean isTarget(InFlightRequest request, Endpoint endpoint) {
    return endpoint != null
        && endpoint.isUp()
        && endpoint.isEdge()
        && request.trafficClass.effect() == Idempotency.IDEMPOTENT;
  }
}
