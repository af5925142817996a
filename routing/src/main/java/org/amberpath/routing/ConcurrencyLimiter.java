package org.amberpath.routing;

/**
 * Limits this gateway's requests at each endpoint, its fills into the zone and its fills that reach
 * the origin, each to its share of what returns in time. Past a limit the next endpoint is used,
 * then only cached copies are returned, then requests are rejected. Source: docs/design.md,
 * "Concurrency limits".
 */
final class ConcurrencyLimiter {
  /**
   * The initial limits are right for a gateway that has this many edge caches, and the following
   * number of parents, to itself.
   */
  private static final double EDGES_PER_GATEWAY = 3;

  private static final double PARENTS_PER_GATEWAY = 2;
  private static final double INITIAL_LIMIT = 24;

  /**
   * An endpoint spills over past this multiple of its share of the requests in flight, plus its
   * share of the allowance.
   */
  private static final double SPILL_OVER_FACTOR = 1.75;

  private static final double SPILL_OVER_ALLOWANCE = 4;
  private static final double MIN_WEIGHT = 1e-3;

  private static final double PRIORITY_FACTOR = 1.5;
  private static final double PRIORITY_REVENUE_FACTOR = 1.5;

  /** An origin whose last late response is older than this is not suspected. */
  private static final long ORIGIN_SUSPICION_NANOS = 1_000_000_000L;

  private final ConcurrencyLimit originLimit = new ConcurrencyLimit(nowNanos -> 1);
  private final ConcurrencyLimit uplinkLimit = new ConcurrencyLimit(nowNanos -> 1);
  private final EndpointTable endpoints;
  private final TrafficClass[] trafficClasses;

  /** Limits without a share: the first list gives them theirs. */
  ConcurrencyLimiter(EndpointTable endpoints, TrafficClass[] trafficClasses) {
    this.endpoints = endpoints;
    this.trafficClasses = trafficClasses;
  }

  /** The limit of fills that reach the origin, by whatever parent. */
  ConcurrencyLimit originLimit() {
    return originLimit;
  }

  /** The limit of fills into the zone. */
  ConcurrencyLimit uplinkLimit() {
    return uplinkLimit;
  }

  /** Gives each limit its share after a change of the list or of the fleet. */
  void assignShares(GatewayShare share) {
    int gatewaysInZone = share.gatewaysInZone();
    double originShare =
        endpoints.upEdges()
            / EDGES_PER_GATEWAY
            / share.gatewaysInAll()
            * (share.isGranted() ? 1 : 0);
    double sharedInitial =
        INITIAL_LIMIT
            * (1 + 1.0 / gatewaysInZone)
            / 2; // Where many share, each learns more slowly.
    originLimit.setShare(originShare, sharedInitial);
    uplinkLimit.setShare(
        endpoints.zoneEdges().length / EDGES_PER_GATEWAY / gatewaysInZone, sharedInitial);
    double parentShare =
        originShare
            * PARENTS_PER_GATEWAY
            / Math.max(PARENTS_PER_GATEWAY, endpoints.parents().length);
    for (Endpoint endpoint : endpoints.all()) {
      if (endpoint.isEdge()) {
        endpoint.limit.setShare(1.0 / gatewaysInZone, INITIAL_LIMIT);
      } else {
        endpoint.limit.setShare(parentShare, sharedInitial);
      }
    }
  }

  /**
   * The factor by which a class may exceed a limit: those with the most revenue for the work are
   * rejected last.
   */
  double priorityFactor(TrafficClass trafficClass) {
    double bound = PRIORITY_REVENUE_FACTOR * trafficClass.revenue() / trafficClass.workNanos();
    for (TrafficClass other : trafficClasses) {
      if (other.revenue() / other.workNanos() > bound) {
        return 1;
      }
    }
    return PRIORITY_FACTOR;
  }

  /** The same for a fill; lower where the response is not cached. */
  private double fillPriorityFactor(InFlightRequest request) {
    return priorityFactor(request.trafficClass)
        * (request.rank == SegmentAdmission.NOT_CACHED ? ConcurrencyLimit.UNCACHED_FACTOR : 1);
  }

  /** Whether an endpoint has room for one more of that class. */
  boolean hasRoom(Endpoint endpoint, TrafficClass trafficClass, long nowNanos) {
    return endpoint.limit.hasRoom(nowNanos, priorityFactor(trafficClass));
  }

  /**
   * Whether the uplink into the zone has room for a request's fill; what is never cached is sent
   * regardless.
   */
  boolean hasUplinkRoom(InFlightRequest request, long nowNanos) {
    return request.uncacheable || uplinkLimit.hasRoom(nowNanos, fillPriorityFactor(request));
  }

  /**
   * Guards against a slow origin: past its limit only cached copies are returned, stale ones too.
   */
  boolean isOriginSaturated(InFlightRequest request, long nowNanos) {
    return request.originFailed
        || (!request.uncacheable && !originLimit.hasRoom(nowNanos, fillPriorityFactor(request)));
  }

  /**
   * The number in flight, per unit of weight, past which an endpoint spills over. Guards against
   * hot segments and slow caches.
   */
  double spillOverBound(Endpoint[] peers) {
    double inFlight = 0;
    double weights = 0;
    for (Endpoint peer : peers) {
      if (peer.isUp()) {
        inFlight += peer.limit.inFlight;
        weights += peer.weight;
      }
    }
    return (SPILL_OVER_FACTOR * inFlight + SPILL_OVER_ALLOWANCE) / Math.max(weights, MIN_WEIGHT);
  }

  /**
   * Whether later fills have returned, through the same source and by way of the origin. Guards
   * limits against responses that never come.
   */
  boolean isOvertaken(Attempt attempt) {
    return Math.min(attempt.source().limit.lastPromptSentNanos, originLimit.lastPromptSentNanos)
        > attempt.sentAtNanos() + attempt.request().patienceNanos;
  }

  /**
   * Counts a fill with its source and, as far as that is likely, with the origin. An overdue fill
   * counts fully at the origin if that was late last: guards the limits of parents against a slow
   * origin.
   *
   * @param likelihood how likely the attempt needs a fill, 0 to 1
   */
  void addFill(Attempt attempt, double likelihood, long nowNanos) {
    long suspectedSince =
        Math.max(attempt.source().limit.lastDecreaseNanos, nowNanos - ORIGIN_SUSPICION_NANOS);
    boolean isOriginLate =
        originLimit.lastDecreaseNanos > suspectedSince && attempt.isOverdue(nowNanos);
    double originFraction =
        isOriginLate || attempt.source() == endpoints.origin()
            ? 1
            : attempt.request().trafficClass.originFraction();
    attempt.source().limit.inFlight += likelihood;
    originLimit.inFlight += attempt.cachedOnly() ? 0 : likelihood * originFraction;
  }

  /**
   * Counts all fills anew, from the attempts that have not ended: the longer one is in flight the
   * more likely it is a fill.
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
      boolean isExpired = nowNanos >= request.deadlineNanos; // Its source has given it up.
      if (attempt.hasSource() && !isExpired && !isOvertaken(attempt)) {
        boolean isLikelyFill = nowNanos - attempt.sentAtNanos() > request.patienceNanos / 3;
        addFill(attempt, isLikelyFill ? 1 : request.trafficClass.missFraction(), nowNanos);
      }
    }
    // Fills that wait at a source past its limit do not use the uplink.
    for (Endpoint endpoint : endpoints.all()) {
      uplinkLimit.inFlight +=
          endpoint.isEdge() ? 0 : Math.min(endpoint.limit.inFlight, endpoint.limit.limit());
    }
  }
}
