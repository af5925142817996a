package org.amberpath.routing;

import org.amberpath.routing.RendezvousSelector.Eligibility;

/**
 * Chooses the edge cache of a request and the source of its fill, each with its fallbacks in order.
 */
final class RouteSelector {
  private final RoutingConfig config;
  private final EndpointTable endpoints;
  private final RendezvousSelector rendezvous;
  private final ConcurrencyLimiter limiter;
  private final RetryPolicy retryPolicy;

  /** A selector over the endpoints of the table. */
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

  /** The route of a request's next attempt; null if no endpoint may take it. */
  Route select(InFlightRequest request, long nowNanos) {
    Endpoint source = selectSource(request, nowNanos);
    Endpoint endpoint =
        request.uncacheable && config.bypassAllowed() && source != null
            ? source
            : selectEdge(request, nowNanos);
    // The origin, too, may be another than where the request may have run.
    if (endpoint == null || !retryPolicy.permits(request, endpoint, nowNanos)) {
      return null;
    }
    return new Route(
        endpoint, source, source == null || limiter.isOriginSaturated(request, nowNanos));
  }

  /**
   * The edge cache: by hash of object and segment, over the caches of the zone that will take it.
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

  /** The edge cache that a prefetch belongs to; null for none. */
  Endpoint selectPrefetchEdge(InFlightRequest request, long nowNanos) {
    return rendezvous.select(
        endpoints.zoneEdges(), request, request.segment, Eligibility.ANY, nowNanos);
  }

  /**
   * The source of a fill: by hash of the object over all parents, else the origin; null where
   * nothing may be filled. There is none past a limit: guards hits against waiting behind misses.
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
            request.uncacheable ? Eligibility.TAKES_KEY : Eligibility.WITH_ROOM,
            nowNanos);
    if (parent != null) {
      return parent;
    }
    Endpoint origin = endpoints.origin();
    boolean isOriginUsable =
        origin != null && origin.isUp() && !request.triedEndpoints.contains(origin);
    Endpoint best =
        isOriginUsable
            ? origin
            : rendezvous.select(endpoints.parents(), request, 0, Eligibility.ANY, nowNanos);
    return best == origin && limiter.isOriginSaturated(request, nowNanos) ? null : best;
  }
}
