package org.amberpath.routing;

/**
 * Highest random weight over endpoints (rendezvous hashing): gateways agree without talking, a
 * change of the list moves only the keys that it must, and each key's second choice is the same
 * everywhere. Source: docs/design.md, "Added to make it a router".
 */
final class RendezvousSelector {
  /**
   * Which endpoints may be chosen, from the strictest on; the budgets of slow start bind in any
   * case.
   */
  enum Eligibility {
    /**
     * Those that take the key, have room, and hold no more than their part of what is in flight.
     */
    WITH_ROOM,
    /** Those that take the key. */
    ACCEPTS_KEY,
    /** All that are up. */
    ANY
  }

  /** Far more than what logarithms and exponentials round by. */
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

  /** A selector over endpoints that these four let pass. */
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
          || request.triedEndpoints.contains(endpoint)
          || !retryPolicy.permits(request, endpoint, nowNanos)) {
        continue;
      }
      long key = mix(request.object * 31 + segment ^ endpoint.hash);
      double keyPosition = toUnit(key);
      if (keyPosition < minKeyPosition && endpoint.weight <= maxWeight) {
        continue; // It can't pass the highest score: spares the logarithm for all but a few.
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
   * Where many gateways share an endpoint, two in flight are chance: this one's part bounds it from
   * below.
   */
  private static boolean isSpillingOver(Endpoint endpoint, double bound) {
    return endpoint.limit.inFlight
        > bound * endpoint.weight + 1 - endpoint.warmUp.profile.gatewayFraction;
  }

  /**
   * Spreads all bits of a value over all bits; hashes are on stable ids, so that all gateways
   * agree.
   */
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
