package org.amberpath.routing;

/**
 * Limits this gateway's concurrent requests to each endpoint, its fills into the zone and its fills
 * that reach the origin. Each limit adapts to what returns in time. Past a limit the next endpoint
 * is selected, then only cached copies are returned, then requests are rejected. Source:
 * docs/design.md, "Concurrency limits".
 */
final class ConcurrencyLimiter {
  /**
   * The initial limits fit a gateway that has this many edge caches, and {@link
   * #PARENTS_PER_GATEWAY} parents, to itself.
   */
  private static final double EDGES_PER_GATEWAY = 3;

  private static final double PARENTS_PER_GATEWAY = 2;
  private static final double INITIAL_LIMIT = 24;

  /**
   * An endpoint spills over when its requests in flight exceed this multiple of its share, by
   * weight, of those at all peers, plus its share of the allowance.
   */
  private static final double SPILL_OVER_FACTOR = 1.75;

  private static final double SPILL_OVER_ALLOWANCE = 4;
  private static final double MIN_WEIGHT = 1e-3;

  private static final double PRIORITY_FACTOR = 1.5;
  private static final double PRIORITY_REVENUE_FACTOR = 1.5;

  /** Time after the origin's last late response until the origin is no longer suspected. */
  private static final long ORIGIN_SUSPICION_NANOS = 1_000_000_000L;

  private final ConcurrencyLimit originLimit = new ConcurrencyLimit(nowNanos -> 1);
  private final ConcurrencyLimit uplinkLimit = new ConcurrencyLimit(nowNanos -> 1);
  private final EndpointTable endpoints;
  private final TrafficClass[] trafficClasses;

  /**
   * Creates limits without a share; {@link #assignShares} sets the shares when a list is complete.
   */
  ConcurrencyLimiter(EndpointTable endpoints, TrafficClass[] trafficClasses) {
    this.endpoints = endpoints;
    this.trafficClasses = trafficClasses;
  }

  /** Returns the limit of fills that reach the origin, through any parent or directly. */
  ConcurrencyLimit originLimit() {
    return originLimit;
  }

  /** Returns the limit of fills into the zone. */
  ConcurrencyLimit uplinkLimit() {
    return uplinkLimit;
  }

  /** Sets the share of each limit after a change of the endpoint list or of the fleet. */
  void assignShares(GatewayShare share) {
    int gatewaysInZone = share.gatewaysInZone();
    double originShare =
        endpoints.upEdgeCount()
            / EDGES_PER_GATEWAY
            / share.gatewaysInAllZones()
            * (share.isGranted() ? 1 : 0);
    // If many gateways share, each one learns more slowly.
    double sharedInitialLimit = INITIAL_LIMIT * (1 + 1.0 / gatewaysInZone) / 2;
    originLimit.setShare(originShare, sharedInitialLimit);
    uplinkLimit.setShare(
        endpoints.zoneEdges().length / EDGES_PER_GATEWAY / gatewaysInZone, sharedInitialLimit);
    double parentShare =
        originShare
            * PARENTS_PER_GATEWAY
            / Math.max(PARENTS_PER_GATEWAY, endpoints.parents().length);
    for (Endpoint endpoint : endpoints.all()) {
      if (endpoint.isEdge()) {
        endpoint.limit.setShare(1.0 / gatewaysInZone, INITIAL_LIMIT);
      } else {
        endpoint.limit.setShare(parentShare, sharedInitialLimit);
      }
    }
  }

  /**
   * Returns the factor by which requests of a class may exceed a limit: the classes with the most
   * revenue per unit of work are rejected last.
   */
  double priorityFactor(TrafficClass trafficClass) {
    double revenueRateBound =
        PRIORITY_REVENUE_FACTOR * trafficClass.revenue() / trafficClass.workNanos();
    for (TrafficClass other : trafficClasses) {
      if (other.revenue() / other.workNanos() > revenueRateBound) {
        return 1;
      }
    }
    return PRIORITY_FACTOR;
  }

  /** Returns the priority factor of a request's fill; it is lower if the response is not cached. */
  private double fillPriorityFactor(InFlightRequest request) {
    return priorityFactor(request.trafficClass)
        * (request.rank == SegmentAdmission.NOT_CACHED
            ? ConcurrencyLimit.UNCACHED_PRIORITY_FACTOR
            : 1);
  }

  /** Whether an endpoint has room for one more request of the class. */
  boolean hasRoom(Endpoint endpoint, TrafficClass trafficClass, long nowNanos) {
    return endpoint.limit.hasRoom(nowNanos, priorityFactor(trafficClass));
  }

  /**
   * Whether the uplink into the zone has room for a request's fill. Requests whose responses are
   * never cached are not limited.
   */
  boolean hasUplinkRoom(InFlightRequest request, long nowNanos) {
    return request.uncacheable || uplinkLimit.hasRoom(nowNanos, fillPriorityFactor(request));
  }

  /**
   * Whether a request must not be filled from the origin, since the origin has failed it or has
   * reached its limit. Guards against a slow origin: past its limit only cached copies are
   * returned, including stale ones.
   */
  boolean mustNotFillFromOrigin(InFlightRequest request, long nowNanos) {
    return request.originFailed
        || (!request.uncacheable && !originLimit.hasRoom(nowNanos, fillPriorityFactor(request)));
  }

  /**
   * Returns the number of requests in flight, per unit of weight, above which an endpoint spills
   * over. Guards against hot segments and slow caches.
   */
  double spillOverBound(Endpoint[] peers) {
    double inFlight = 0;
    double totalWeight = 0;
    for (Endpoint peer : peers) {
      if (peer.isUp()) {
        inFlight += peer.limit.inFlight;
        totalWeight += peer.weight;
      }
    }
    return (SPILL_OVER_FACTOR * inFlight + SPILL_OVER_ALLOWANCE)
        / Math.max(totalWeight, MIN_WEIGHT);
  }

  /**
   * Whether fills that were sent later, by more than the request's soft timeout, have returned in
   * time, both through the same source and from the origin. Guards limits against responses that
   * never arrive.
   */
  boolean isOvertakenByLaterFills(Attempt attempt) {
    return Math.min(attempt.source().limit.lastTimelySentNanos, originLimit.lastTimelySentNanos)
        > attempt.sentAtNanos() + attempt.request().softTimeoutNanos;
  }

  /**
   * Adds a fill to the requests in flight at its source and, weighted by likelihood, at the origin.
   * An overdue fill counts fully at the origin if the origin was late more recently than the
   * source. Guards the limits of parents against a slow origin.
   *
   * @param likelihood the likelihood that the attempt needs a fill, 0 to 1
   */
  void addFill(Attempt attempt, double likelihood, long nowNanos) {
    long suspectedSinceNanos =
        Math.max(attempt.source().limit.lastDecreaseNanos, nowNanos - ORIGIN_SUSPICION_NANOS);
    boolean isOriginLate =
        originLimit.lastDecreaseNanos > suspectedSinceNanos && attempt.isOverdue(nowNanos);
    double originFraction =
        isOriginLate || attempt.source() == endpoints.origin()
            ? 1
            : attempt.request().trafficClass.originFraction();
    attempt.source().limit.inFlight += likelihood;
    originLimit.inFlight += attempt.cachedOnly() ? 0 : likelihood * originFraction;
  }

  /**
   * Recomputes the fills in flight from the attempts that have not ended. An attempt that has been
   * in flight for more than a third of its soft timeout counts as a fill, one below that with the
   * likelihood of a miss.
   */
  void recountFills(Iterable<Attempt> openAttempts, long nowNanos) {
    for (Endpoint endpoint : endpoints.all()) {
      endpoint.limit.advanceTo(nowNanos);
      endpoint.limit.inFlight = endpoint.isEdge() ? endpoint.limit.inFlight : 0;
    }
    originLimit.advanceTo(nowNanos);
    originLimit.inFlight = 0;
    uplinkLimit.advanceTo(nowNanos);
    uplinkLimit.inFlight = 0;
    for (Attempt attempt : openAttempts) {
      InFlightRequest request = attempt.request();
      // The source of an expired request has abandoned the fill.
      boolean isExpired = nowNanos >= request.deadlineNanos;
      if (attempt.hasSource() && !isExpired && !isOvertakenByLaterFills(attempt)) {
        boolean isLikelyFill = nowNanos - attempt.sentAtNanos() > request.softTimeoutNanos / 3;
        addFill(attempt, isLikelyFill ? 1 : request.trafficClass.missFraction(), nowNanos);
      }
    }
    // Fills that are queued at a source past its limit do not use the uplink.
    for (Endpoint endpoint : endpoints.all()) {
      uplinkLimit.inFlight +=
          endpoint.isEdge() ? 0 : Math.min(endpoint.limit.inFlight, endpoint.limit.limit());
    }
  }
}
