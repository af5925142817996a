package org.amberpath.routing;

import org.amberpath.routing.RendezvousSelector.Eligibility;

/**
 * Selects the edge cache of a request and the source of its fill, each with an ordered list of
 * fallbacks.
 */
final class RouteSelector {
  private final RoutingConfig config;
  private final EndpointTable endpoints;
  private final RendezvousSelector rendezvous;
  private final ConcurrencyLimiter limiter;
  private final RetryPolicy retryPolicy;

  /** Creates a selector over the endpoints of the table. */
  RouteSelector(
      RoutingConfig config,
      EndpointTable endpoints,
      RendezvousSelector rendezvous,
      ConcurrencyLimiter limiter,
      RetryPolicy retryPolicy) {
    this.config = config;
    this.endpoints = endpoints;
    this.rendezvous = rendezvous;
    this.limiter = limiter;
    this.retryPolicy = retryPolicy;
  }

  /** Returns the route of a request's next attempt; null if no endpoint may receive it. */
  Route select(InFlightRequest request, long nowNanos) {
    Endpoint source = selectSource(request, nowNanos);
    Endpoint endpoint =
        request.uncacheable && config.bypassAllowed() && source != null
            ? source
            : selectEdge(request, nowNanos);
    // Needed for the origin, which may not share idempotency keys with an endpoint that may have
    // executed the request; the other endpoints are selected by the same condition.
    if (endpoint == null || !retryPolicy.permits(request, endpoint, nowNanos)) {
      return null;
    }
    return new Route(
        endpoint, source, source == null || limiter.mustNotFillFromOrigin(request, nowNanos));
  }

  /**
   * Returns the edge cache of the zone that the hash of the object and segment selects, among those
   * with the strictest eligibility that any of them meets; null if there is none or the selected
   * one has no room.
   */
  private Endpoint selectEdge(InFlightRequest request, long nowNanos) {
    Endpoint best = null;
    for (Eligibility eligibility : Eligibility.values()) {
      best =
          best != null
              ? best
              : rendezvous.select(
                  endpoints.zoneEdges(), request, request.segment, eligibility, nowNanos);
    }
    return best != null && limiter.hasRoom(best, request.trafficClass, nowNanos) ? best : null;
  }

  /** Returns the edge cache that the hash selects for a prefetch; null if there is none. */
  Endpoint selectPrefetchEdge(InFlightRequest request, long nowNanos) {
    return rendezvous.select(
        endpoints.zoneEdges(), request, request.segment, Eligibility.ANY, nowNanos);
  }

  /**
   * Returns the source of a request's fill: the parent that the hash of the object selects, else
   * the origin; null if nothing may be filled. There is no source past a limit. Guards hits against
   * queueing behind misses.
   */
  Endpoint selectSource(InFlightRequest request, long nowNanos) {
    if (!limiter.hasUplinkRoom(request, nowNanos)) {
      return null;
    }
    Endpoint parent =
        rendezvous.select(
            endpoints.parents(),
            request,
            0,
            request.uncacheable ? Eligibility.ACCEPTS_KEY : Eligibility.WITH_ROOM,
            nowNanos);
    if (parent != null) {
      return parent;
    }
    Endpoint origin = endpoints.origin();
    boolean isOriginUsable =
        origin != null && origin.isUp() && !request.excludedEndpoints.contains(origin);
    Endpoint best =
        isOriginUsable
            ? origin
            : rendezvous.select(endpoints.parents(), request, 0, Eligibility.ANY, nowNanos);
    return best == origin && limiter.mustNotFillFromOrigin(request, nowNanos) ? null : best;
  }

  /** Whether a request that found no cached copy has a source that may fill one. */
  boolean canFill(InFlightRequest request, long nowNanos) {
    return selectSource(request, nowNanos) != null
        && !limiter.mustNotFillFromOrigin(request, nowNanos);
  }
}
