package org.amberpath.routing;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Limits the load on endpoints that have recently started. Such an endpoint receives a growing
 * fraction of its keys and a budget of work per second, so that all gateways together stay within
 * what it is certain to serve. The budget is kept as a debt, since a share of less than one request
 * must still admit a request from time to time. Source: docs/design.md, "Slow start".
 */
final class SlowStart {
  /**
   * Fractions of what the endpoint is certain to serve; the rest is for load that this gateway does
   * not see.
   */
  private static final double KEY_FRACTION = 0.9;

  private static final double BUDGET_FRACTION = 0.5;
  private static final double PREFETCH_FRACTION = 0.25;

  /**
   * If the warm peers have at least this fraction of the peers' weight, they serve most of the
   * requests that a peer which warms up cannot serve.
   */
  private static final double MIN_WARM_WEIGHT_FRACTION = 0.25;

  private static final double MIN_GATEWAY_FRACTION = 1e-9;
  private static final double MIN_PREFETCH_RATE = 1e-6;
  private static final long NOT_STARTED = Long.MIN_VALUE;
  private static final double NANOS_PER_SECOND = 1e9;

  private final RoutingConfig config;
  private final GatewayShare gatewayShare;
  private final TrafficClass[] trafficClasses;
  private final Map<String, SlowStartProfile> profiles = new TreeMap<>();
  private boolean hasWarmEdges = true;
  private boolean hasWarmParents = true;
  private long gatewayStartedAtNanos = NOT_STARTED;

  /** Creates slow start with the configured bounds, for this gateway's share of them. */
  SlowStart(RoutingConfig config, GatewayShare share, TrafficClass[] trafficClasses) {
    this.config = config;
    this.gatewayShare = share;
    this.trafficClasses = trafficClasses;
  }

  /** Begins a batch. The time of the first one counts as this gateway's own start. */
  void beginBatch(long nowNanos) {
    gatewayStartedAtNanos = gatewayStartedAtNanos == NOT_STARTED ? nowNanos : gatewayStartedAtNanos;
  }

  /**
   * Returns the profile of a kind of endpoints, created from the configuration when the kind is
   * first listed.
   */
  SlowStartProfile profileOf(String kind, Endpoint.Role role) {
    return profiles.computeIfAbsent(
        kind,
        name ->
            new SlowStartProfile(
                role == Endpoint.Role.EDGE ? config.edgeSlowStart() : config.parentSlowStart(),
                gatewayShare.fractionOf(role)));
  }

  /**
   * Sets a random initial debt for an endpoint that has started. Guards against all gateways
   * sending their first request at the same time.
   */
  void onStart(Endpoint endpoint, SplittableRandom random, long nowNanos) {
    endpoint.warmUp.initialDebtFraction = random.nextDouble();
    endpoint.warmUp.debtAtNanos = nowNanos;
  }

  /**
   * Whether a key lies in the fraction of keys that an endpoint accepts while it warms up.
   *
   * @param keyPosition the key's position in the shared hash, 0 to 1
   */
  boolean acceptsKey(Endpoint endpoint, double keyPosition, long nowNanos) {
    double capacity = endpoint.warmUp.capacityFraction(nowNanos);
    return capacity >= 1 || keyPosition < KEY_FRACTION * capacity;
  }

  /**
   * Whether this gateway's share of an endpoint's budget has room for one more request. A share of
   * less than one request admits one while there is no debt, and the request's work becomes a debt,
   * so that the sum over all gateways stays within the budget.
   */
  boolean hasBudgetFor(Endpoint endpoint, TrafficClass trafficClass, long nowNanos) {
    if (endpoint.warmUp.isComplete(nowNanos)) {
      return true;
    }
    double workSeconds = trafficClass.workNanos() / NANOS_PER_SECOND;
    double spareSeconds = burstSeconds(endpoint, nowNanos) - workSeconds;
    return debtSeconds(endpoint, nowNanos) <= Math.max(0, spareSeconds)
        && (spareSeconds >= 0 || mayUseCredit(endpoint, workSeconds, nowNanos));
  }

  /**
   * Whether this gateway may use its credit now. Guards against requests from all gateways without
   * debt at the same time when demand sets in: if their number exceeds what the endpoint can serve,
   * and its peers do not serve most of the requests, credit that is not used within an overload
   * window lapses, and is available again once the work of another request has accrued.
   */
  private boolean mayUseCredit(Endpoint endpoint, double workSeconds, long nowNanos) {
    double fraction = Math.max(endpoint.warmUp.profile.gatewayFraction, MIN_GATEWAY_FRACTION);
    double maxConcurrentRequests =
        burstSeconds(endpoint, nowNanos) / BUDGET_FRACTION / workSeconds / fraction;
    boolean canServeAllGateways =
        1 / fraction <= maxConcurrentRequests + 2 * Math.sqrt(maxConcurrentRequests) + 2;
    return canServeAllGateways
        || (endpoint.isEdge() ? hasWarmEdges : hasWarmParents)
        || -netDebtSeconds(endpoint, nowNanos) % workSeconds <= burstSeconds(endpoint, nowNanos);
  }

  /** Adds the work of a sent request, in seconds, to an endpoint's debt. */
  void charge(Endpoint endpoint, double workSeconds, long nowNanos) {
    if (workSeconds > 0) {
      setDebt(endpoint, debtSeconds(endpoint, nowNanos) + workSeconds, nowNanos);
    }
  }

  /**
   * Subtracts work, in seconds, that was charged to an endpoint but that the endpoint did not have
   * to do. Credit that has accrued since is kept.
   */
  void refund(Endpoint endpoint, double workSeconds, long nowNanos) {
    if (workSeconds > 0 && !endpoint.warmUp.isComplete(nowNanos)) {
      double netDebtSeconds = netDebtSeconds(endpoint, nowNanos);
      setDebt(
          endpoint, Math.max(Math.min(0, netDebtSeconds), netDebtSeconds - workSeconds), nowNanos);
    }
  }

  /**
   * Returns the work, in seconds, to refund to a fill source that is warming up if the warm
   * endpoint of the route needs no fill; 0 for other routes.
   */
  double refundableSeconds(Route route, TrafficClass trafficClass, long nowNanos) {
    boolean isRefundable =
        route.source() != null
            && route.source() != route.endpoint()
            && route.endpoint().warmUp.isComplete(nowNanos)
            && !route.source().warmUp.isComplete(nowNanos);
    return isRefundable ? trafficClass.workNanos() / NANOS_PER_SECOND : 0;
  }

  private void setDebt(Endpoint endpoint, double debtSeconds, long nowNanos) {
    endpoint.warmUp.debtSeconds = endpoint.warmUp.isComplete(nowNanos) ? 0 : debtSeconds;
    endpoint.warmUp.debtAtNanos = nowNanos;
    endpoint.warmUp.initialDebtFraction = WarmUp.NO_INITIAL_DEBT;
  }

  /**
   * Whether an endpoint can serve one more prefetch; if so, sets the earliest time of the next one.
   */
  boolean tryPrefetch(Endpoint endpoint, TrafficClass trafficClass, long nowNanos) {
    WarmUp warmUp = endpoint.warmUp;
    if (!gatewayShare.isGranted()
        || warmUp.isComplete(nowNanos)
        || endpoint.health.keyFraction(nowNanos) != 1
        || nowNanos < warmUp.nextPrefetchNanos) {
      return false;
    }
    double prefetchRate =
        PREFETCH_FRACTION
            / BUDGET_FRACTION
            * budget(endpoint, nowNanos)
            / warmUp.profile.gatewayFraction;
    warmUp.nextPrefetchNanos =
        nowNanos + (long) (trafficClass.workNanos() / Math.max(MIN_PREFETCH_RATE, prefetchRate));
    return true;
  }

  /**
   * Learns the typical throughput of each kind of endpoints from its warm peers. Guards small
   * caches that restarted together against the budget of large ones, which return more.
   */
  void learnThroughput(Endpoint[] peers, long nowNanos) {
    for (SlowStartProfile profile : profiles.values()) {
      double throughputSum = 0;
      int warmCount = 0;
      for (Endpoint peer : peers) {
        if (peer.warmUp.profile == profile && isWarm(peer, nowNanos)) {
          throughputSum += peer.warmUp.throughput(nowNanos);
          warmCount++;
        }
      }
      profile.typicalThroughput =
          warmCount == 0 ? profile.typicalThroughput : throughputSum / warmCount;
      boundThroughput(profile);
    }
  }

  private static boolean isWarm(Endpoint peer, long nowNanos) {
    return peer.isUp() && peer.health.isServing(nowNanos) && peer.warmUp.isComplete(nowNanos);
  }

  /**
   * Updates whether enough peers are warm, after a change of the endpoint list and in each sweep.
   */
  void updateWarmPeers(EndpointTable endpoints, long nowNanos) {
    hasWarmEdges = hasEnoughWarmWeight(endpoints.zoneEdges(), nowNanos);
    hasWarmParents = hasEnoughWarmWeight(endpoints.parents(), nowNanos);
  }

  /** Whether enough of the peers are warm to serve the requests that peers which warm up cannot. */
  private static boolean hasEnoughWarmWeight(Endpoint[] peers, long nowNanos) {
    double totalWeight = 0;
    double warmWeight = 0;
    for (Endpoint peer : peers) {
      totalWeight += peer.isUp() ? peer.weight : 0;
      warmWeight += isWarm(peer, nowNanos) ? peer.weight : 0;
    }
    return warmWeight >= MIN_WARM_WEIGHT_FRACTION * totalWeight;
  }

  /** Updates an endpoint's profile after a change of this gateway's share. */
  void onShareChange(Endpoint endpoint) {
    endpoint.warmUp.profile.gatewayFraction = gatewayShare.fractionOf(endpoint.role);
    boundThroughput(endpoint.warmUp.profile);
  }

  private void boundThroughput(SlowStartProfile profile) {
    profile.typicalThroughput =
        gatewayShare.isGranted() ? Math.max(profile.gatewayFraction, profile.typicalThroughput) : 0;
  }

  /**
   * Returns the work per second that this gateway may send to an endpoint: derived from the
   * endpoint's size where weights are sizes, else from the typical throughput of warm peers.
   */
  private double budget(Endpoint endpoint, long atNanos) {
    SlowStartProfile profile = endpoint.warmUp.profile;
    double warmThroughput =
        config.weightIsSize()
            ? endpoint.weight * profile.gatewayFraction
            : profile.typicalThroughput;
    return BUDGET_FRACTION
        * profile.overloadFactor
        * endpoint.warmUp.capacityFraction(atNanos)
        * warmThroughput;
  }

  /** Returns the work that this gateway may send in one overload window, in seconds. */
  private double burstSeconds(Endpoint endpoint, long atNanos) {
    return budget(endpoint, atNanos) * config.overloadWindowNanos() / NANOS_PER_SECOND;
  }

  /**
   * Returns the debt for the work sent, in seconds. It is paid off at a rate that rises with the
   * endpoint's capacity.
   */
  private double debtSeconds(Endpoint endpoint, long nowNanos) {
    return Math.max(0, netDebtSeconds(endpoint, nowNanos));
  }

  /**
   * Returns the debt minus the credit, in seconds: below 0 while there has been no debt, by the
   * work that the budget would have covered since.
   */
  private double netDebtSeconds(Endpoint endpoint, long nowNanos) {
    WarmUp warmUp = endpoint.warmUp;
    double repaidSeconds =
        (budget(endpoint, warmUp.debtAtNanos) + budget(endpoint, nowNanos))
            / 2
            * (nowNanos - warmUp.debtAtNanos)
            / NANOS_PER_SECOND;
    boolean isInitialDebt = warmUp.initialDebtFraction >= 0;
    return (isInitialDebt ? initialDebtSeconds(endpoint) : warmUp.debtSeconds) - repaidSeconds;
  }

  /**
   * Returns the debt of an endpoint that has not been sent a request, in seconds, for the work per
   * request as it is known now. The debt is random, so that gateways do not all send their first
   * request at the same time. A gateway that started after the endpoint has no credit, since its
   * predecessor may have used it up.
   */
  private double initialDebtSeconds(Endpoint endpoint) {
    WarmUp warmUp = endpoint.warmUp;
    double longestWorkSeconds = longestWorkNanos() / NANOS_PER_SECOND;
    double burstSeconds = burstSeconds(endpoint, warmUp.debtAtNanos);
    boolean isOlderThanGateway = warmUp.startedAtNanos < gatewayStartedAtNanos;
    return warmUp.initialDebtFraction * longestWorkSeconds
        + (isOlderThanGateway ? Math.max(0, burstSeconds - longestWorkSeconds) : -burstSeconds);
  }

  private long longestWorkNanos() {
    long longestNanos = 0;
    for (TrafficClass trafficClass : trafficClasses) {
      longestNanos = Math.max(longestNanos, trafficClass.workNanos());
    }
    return longestNanos;
  }
}
