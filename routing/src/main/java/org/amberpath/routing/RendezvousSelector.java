package org.amberpath.routing;

/**
 * Highest random weight over endpoints (rendezvous hashing): gateways agree without communication,
 * a change of the list moves only the keys that it must, and each key's second choice is the same
 * everywhere. Source: docs/design.md, "Added to make it a router".
 */
final class RendezvousSelector {
  /**
   * Which endpoints may be chosen, from the strictest on; the budgets of slow start bind in any
   * case.
   */
  enum Eligibility {
    /**
     * Those that accept the key, have room under their limit, and hold no more than their share of
     * the requests in flight.
     */
    WITH_ROOM,
    /** Those that accept the key. */
    ACCEPTS_KEY,
    /** All that are up. */
    ANY
  }

  /** Far above the rounding errors of logarithms and exponentials. */
  private static final double ROUNDING = 1e-9;

  private record Criteria(
      InFlightRequest request,
      Eligibility eligibility,
      double spillOverBound,
      double priorityFactor,
      long nowNanos) {}

  private final RetryPolicy retryPolicy;
  private final OutlierDetector outlierDetector;
  private final ConcurrencyLimiter limiter;
  private final SlowStart slowStart;

  /** A selector by the decisions of the given parts. */
  RendezvousSelector(
      RetryPolicy retryPolicy,
      OutlierDetector outlierDetector,
      ConcurrencyLimiter limiter,
      SlowStart slowStart) {
    this.retryPolicy = retryPolicy;
    this.outlierDetector = outlierDetector;
    this.limiter = limiter;
    this.slowStart = slowStart;
  }

  /**
   * The first eligible endpoint by the hash of object and segment, that was not tried before; null
   * for none.
   *
   * @param segment 0 where the object alone decides
   */
  Endpoint select(
      Endpoint[] candidates,
      InFlightRequest request,
      int segment,
      Eligibility eligibility,
      long nowNanos) {
    double bound = eligibility == Eligibility.WITH_ROOM ? limiter.spillOverBound(candidates) : 0;
    Criteria criteria =
        new Criteria(
            request, eligibility, bound, limiter.priorityFactor(request.trafficClass), nowNanos);
    Endpoint best = null;
    double maxScore = -1;
    double maxWeight = 0;
    double minKeyPosition = 0;
    for (Endpoint endpoint : candidates) {
      if (!endpoint.isUp()
          || request.excludedEndpoints.contains(endpoint)
          || !retryPolicy.permits(request, endpoint, nowNanos)) {
        continue;
      }
      long key = mix(request.object * 31 + segment ^ endpoint.hash);
      double keyPosition = toUnit(key);
      if (keyPosition < minKeyPosition && endpoint.weight <= maxWeight) {
        continue; // Cannot exceed the highest score; saves the logarithm in most cases.
      }
      double score = endpoint.weight / -Math.log(keyPosition);
      if (score > maxScore && isEligible(endpoint, key, criteria)) {
        best = endpoint;
        maxScore = score;
        maxWeight = Math.max(maxWeight, endpoint.weight);
        minKeyPosition = Math.exp(-maxWeight / maxScore) - ROUNDING;
      }
    }
    return best;
  }

  private boolean isEligible(Endpoint endpoint, long key, Criteria criteria) {
    InFlightRequest request = criteria.request;
    long nowNanos = criteria.nowNanos;
    boolean needsRoom = criteria.eligibility == Eligibility.WITH_ROOM;
    return (criteria.eligibility == Eligibility.ANY
            || outlierDetector.acceptsKey(endpoint, toUnit(mix(key + 1)), nowNanos))
        && (!needsRoom
            || (endpoint.limit.hasRoom(nowNanos, criteria.priorityFactor)
                && !isSpillingOver(endpoint, criteria.spillOverBound)))
        && ((request.purpose == InFlightRequest.Purpose.PREFETCH && endpoint.isEdge())
            || slowStart.hasBudgetFor(endpoint, request.trafficClass, nowNanos));
  }

  /**
   * Where many gateways share an endpoint, two requests in flight may be a coincidence: the bound
   * is higher by what is not this gateway's share.
   */
  private static boolean isSpillingOver(Endpoint endpoint, double bound) {
    return endpoint.limit.inFlight
        > bound * endpoint.weight + 1 - endpoint.warmUp.profile.gatewayFraction;
  }

  /** Mixes all bits of a value. Its inputs are stable ids, so that all gateways agree. */
  static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** A hash as a number between 0 and 1, both excluded. */
  static double toUnit(long hash) {
    return ((hash >>> 11) + 0.5) * 0x1.0p-53;
  }
}
