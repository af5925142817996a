package org.amberpath.routing;

/**
 * Selects endpoints by weighted rendezvous hashing (highest random weight): all gateways agree
 * without communication, a change of the endpoint list moves only the keys that it must, and each
 * key's second choice is the same at every gateway. Source: docs/design.md, "Added to make it a
 * router".
 */
final class RendezvousSelector {
  /**
   * Which endpoints may be selected, from the strictest condition to the most lenient; the budgets
   * of slow start apply in every case.
   */
  enum Eligibility {
    /**
     * Endpoints that accept the key, have room under their concurrency limit, and do not exceed
     * their share of the requests in flight.
     */
    WITH_ROOM,
    /** Endpoints that accept the key. */
    ACCEPTS_KEY,
    /** All endpoints that are up. */
    ANY
  }

  /** Tolerance for the rounding errors of logarithms and exponentials, which are far smaller. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

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

  /** Creates a selector that consults the given components. */
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
   * Returns the eligible endpoint with the highest hash score for the object and segment, without
   * those that the request excludes; null if there is none.
   *
   * @param segment the segment to hash; 0 to hash the object alone
   */
  Endpoint select(
      Endpoint[] candidates,
      InFlightRequest request,
      int segment,
      Eligibility eligibility,
      long nowNanos) {
    double spillOverBound =
        eligibility == Eligibility.WITH_ROOM ? limiter.spillOverBound(candidates) : 0;
    Criteria criteria =
        new Criteria(
            request,
            eligibility,
            spillOverBound,
            limiter.priorityFactor(request.trafficClass),
            nowNanos);
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
        continue; // Cannot exceed the highest score; skips the logarithm in most cases.
      }
      double score = endpoint.weight / -Math.log(keyPosition);
      if (score > maxScore && isEligible(endpoint, key, criteria)) {
        best = endpoint;
        maxScore = score;
        maxWeight = Math.max(maxWeight, endpoint.weight);
        minKeyPosition = Math.exp(-maxWeight / maxScore) - ROUNDING_TOLERANCE;
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
   * Whether an endpoint exceeds its share of the requests in flight. If many gateways share the
   * endpoint, two concurrent requests may be a coincidence, so the bound is raised by the fraction
   * of the endpoint that belongs to other gateways.
   */
  private static boolean isSpillingOver(Endpoint endpoint, double bound) {
    return endpoint.limit.inFlight
        > bound * endpoint.weight + 1 - endpoint.warmUp.profile.gatewayFraction;
  }

  /** Mixes all bits of a value. The inputs are stable ids, so that all gateways agree. */
  static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Maps a hash to a number between 0 and 1, both exclusive. */
  static double toUnit(long hash) {
    return ((hash >>> 11) + 0.5) * 0x1.0p-53;
  }
}
