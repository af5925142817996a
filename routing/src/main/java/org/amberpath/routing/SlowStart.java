package org.amberpath.routing;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Endpoints that have just started get a thin slice of their keys that widens, and a budget of work
 * a second: all gateways together stay within what such an endpoint can surely serve. The bound is
 * kept as a debt, since a part of less than one request must still let one through at times.
 * Source: docs/design.md, "The six mechanisms".
 */
final class SlowStart {
  /** Parts of what the endpoint can surely serve; the rest is for what others do unseen. */
  private static final double KEY_FRACTION = 0.9;

  private static final double BUDGET_FRACTION = 0.5;
  private static final double PREFETCH_FRACTION = 0.25;

  /**
   * From this part of the peers' weight on, those that are warm take most of what a cold one can't.
   */
  private static final double ENOUGH_WARM_WEIGHT = 0.25;

  private static final double MIN_GATEWAY_FRACTION = 1e-9;
  private static final double MIN_PREFETCH_RATE = 1e-6;
  private static final long UNKNOWN = Long.MIN_VALUE;
  private static final double NANOS_PER_SECOND = 1e9;

  private final RoutingConfig config;
  private final GatewayShare share;
  private final TrafficClass[] trafficClasses;
  private final Map<String, SlowStartProfile> profiles = new TreeMap<>();
  private boolean hasWarmEdges = true;
  private boolean hasWarmParents = true;
  private long gatewayStartedAtNanos = UNKNOWN;

  /** Slow start as the site bounds it, for this gateway's share of it. */
  SlowStart(RoutingConfig config, GatewayShare share, TrafficClass[] trafficClasses) {
    this.config = config;
    this.share = share;
    this.trafficClasses = trafficClasses;
  }

  /** A batch begins; the first one is taken for this gateway's own start. */
  void beginBatch(long nowNanos) {
    gatewayStartedAtNanos = gatewayStartedAtNanos == UNKNOWN ? nowNanos : gatewayStartedAtNanos;
  }

  /**
   * The profile of a kind of endpoints; as the site configures it, made when the kind is listed
   * first.
   */
  SlowStartProfile profileOf(String kind, Endpoint.Role role) {
    return profiles.computeIfAbsent(
        kind,
        name ->
            new SlowStartProfile(
                role == Endpoint.Role.EDGE ? config.edgeSlowStart() : config.parentSlowStart(),
                share.fractionOf(role)));
  }

  /**
   * An endpoint has started; its first debt is random, since not all gateways may send their first
   * at once.
   */
  void onStart(Endpoint endpoint, SplittableRandom random, long nowNanos) {
    endpoint.warmUp.firstDebtDraw = random.nextDouble();
    endpoint.warmUp.debtAtNanos = nowNanos;
  }

  /** Whether an endpoint's slice has a key, by its place in the shared hash, 0 to 1. */
  boolean takesKey(Endpoint endpoint, double place, long nowNanos) {
    double capacity = endpoint.warmUp.capacityFraction(nowNanos);
    return capacity >= 1 || place < KEY_FRACTION * capacity;
  }

  /**
   * Whether this gateway's part of what an endpoint can serve has room for one more request. A part
   * under one request lets one through while there is no debt, which becomes a debt in turn: the
   * sum over all gateways is kept.
   */
  boolean affords(Endpoint endpoint, TrafficClass trafficClass, long nowNanos) {
    if (endpoint.warmUp.isComplete(nowNanos)) {
      return true;
    }
    double workSeconds = trafficClass.workNanos() / NANOS_PER_SECOND;
    double spareSeconds = burstSeconds(endpoint, nowNanos) - workSeconds;
    return debtSeconds(endpoint, nowNanos) <= Math.max(0, spareSeconds)
        && (spareSeconds >= 0 || isInTurn(endpoint, workSeconds, nowNanos));
  }

  /**
   * Guards against all gateways that have no debt at once, when demand sets in: where more than the
   * endpoint can serve could, and its peers don't take most of it, what was not used in a fall time
   * comes back a turn later.
   */
  private boolean isInTurn(Endpoint endpoint, double workSeconds, long nowNanos) {
    double fraction = Math.max(endpoint.warmUp.profile.gatewayFraction, MIN_GATEWAY_FRACTION);
    double servedAtOnce =
        burstSeconds(endpoint, nowNanos) / BUDGET_FRACTION / workSeconds / fraction;
    boolean areGatewaysFew = 1 / fraction <= servedAtOnce + 2 * Math.sqrt(servedAtOnce) + 2;
    return areGatewaysFew
        || (endpoint.isEdge() ? hasWarmEdges : hasWarmParents)
        || -balanceSeconds(endpoint, nowNanos) % workSeconds <= burstSeconds(endpoint, nowNanos);
  }

  /** Puts work that was sent, in seconds, on an endpoint's account. */
  void charge(Endpoint endpoint, double workSeconds, long nowNanos) {
    if (workSeconds > 0) {
      setDebt(endpoint, debtSeconds(endpoint, nowNanos) + workSeconds, nowNanos);
    }
  }

  /** Takes work, in seconds, off again: the endpoint was not asked after all. */
  void refund(Endpoint endpoint, double workSeconds, long nowNanos) {
    if (workSeconds > 0 && !endpoint.warmUp.isComplete(nowNanos)) {
      double balanceSeconds = balanceSeconds(endpoint, nowNanos);
      setDebt(
          endpoint, Math.max(Math.min(0, balanceSeconds), balanceSeconds - workSeconds), nowNanos);
    }
  }

  /**
   * The work that a source which is warming up gets back, in seconds, if a warm endpoint needs no
   * fill.
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
    endpoint.warmUp.firstDebtDraw = WarmUp.NO_DRAW;
  }

  /**
   * Whether an endpoint can serve one more request ahead of its clients; if so, the next is put
   * off.
   */
  boolean tryPrefetch(Endpoint endpoint, TrafficClass trafficClass, long nowNanos) {
    WarmUp warmUp = endpoint.warmUp;
    if (!share.isGranted()
        || warmUp.isComplete(nowNanos)
        || endpoint.health.keyFraction(nowNanos) != 1
        || nowNanos < warmUp.nextPrefetchNanos) {
      return false;
    }
    double rate =
        PREFETCH_FRACTION
            / BUDGET_FRACTION
            * budget(endpoint, nowNanos)
            / warmUp.profile.gatewayFraction;
    warmUp.nextPrefetchNanos =
        nowNanos + (long) (trafficClass.workNanos() / Math.max(MIN_PREFETCH_RATE, rate));
    return true;
  }

  /**
   * Learns from warm peers what an endpoint of each kind returns. Guards against small caches that
   * restarted together: the large ones left serve more than they can.
   */
  void learnThroughput(Endpoint[] peers, long nowNanos) {
    for (SlowStartProfile profile : profiles.values()) {
      double sum = 0;
      int warm = 0;
      for (Endpoint peer : peers) {
        if (peer.warmUp.profile == profile && isWarm(peer, nowNanos)) {
          sum += peer.warmUp.throughput(nowNanos);
          warm++;
        }
      }
      profile.typicalThroughput = warm == 0 ? profile.typicalThroughput : sum / warm;
      boundThroughput(profile);
    }
  }

  private static boolean isWarm(Endpoint peer, long nowNanos) {
    return peer.isUp() && peer.health.isServing(nowNanos) && peer.warmUp.isComplete(nowNanos);
  }

  /** Looks which peers are warm, after a change of the list and in each sweep. */
  void updateWarmPeers(EndpointTable endpoints, long nowNanos) {
    hasWarmEdges = areEnoughWarm(endpoints.zoneEdges(), nowNanos);
    hasWarmParents = areEnoughWarm(endpoints.parents(), nowNanos);
  }

  /**
   * Whether enough of these are warm that no flood of what they would take comes to those that are
   * cold.
   */
  private static boolean areEnoughWarm(Endpoint[] peers, long nowNanos) {
    double allWeights = 0;
    double warmWeights = 0;
    for (Endpoint peer : peers) {
      allWeights += peer.isUp() ? peer.weight : 0;
      warmWeights += isWarm(peer, nowNanos) ? peer.weight : 0;
    }
    return warmWeights >= ENOUGH_WARM_WEIGHT * allWeights;
  }

  /** This gateway's share has changed. */
  void onShareChange(Endpoint endpoint) {
    endpoint.warmUp.profile.gatewayFraction = share.fractionOf(endpoint.role);
    boundThroughput(endpoint.warmUp.profile);
  }

  private void boundThroughput(SlowStartProfile profile) {
    profile.typicalThroughput =
        share.isGranted() ? Math.max(profile.gatewayFraction, profile.typicalThroughput) : 0;
  }

  /**
   * Work a second that this gateway may send: by size where that is listed, else by what warm peers
   * usually return.
   */
  private double budget(Endpoint endpoint, long atNanos) {
    SlowStartProfile profile = endpoint.warmUp.profile;
    double warm =
        config.weightIsSize()
            ? endpoint.weight * profile.gatewayFraction
            : profile.typicalThroughput;
    return BUDGET_FRACTION
        * profile.overloadFactor
        * endpoint.warmUp.capacityFraction(atNanos)
        * warm;
  }

  /** Work that this gateway may send in a fall time, in seconds. */
  private double burstSeconds(Endpoint endpoint, long atNanos) {
    return budget(endpoint, atNanos) * config.overloadWindowNanos() / NANOS_PER_SECOND;
  }

  /** The debt for the work sent, in seconds: it is paid off at a rate that rises with the ramp. */
  private double debtSeconds(Endpoint endpoint, long nowNanos) {
    return Math.max(0, balanceSeconds(endpoint, nowNanos));
  }

  /** The same, and below 0 for how long there has been no debt. */
  private double balanceSeconds(Endpoint endpoint, long nowNanos) {
    WarmUp warmUp = endpoint.warmUp;
    double paidSeconds =
        (budget(endpoint, warmUp.debtAtNanos) + budget(endpoint, nowNanos))
            / 2
            * (nowNanos - warmUp.debtAtNanos)
            / NANOS_PER_SECOND;
    boolean isFirst = warmUp.firstDebtDraw >= 0;
    return (isFirst ? firstDebtSeconds(endpoint) : warmUp.debtSeconds) - paidSeconds;
  }

  /**
   * By chance, so that not all gateways send their first at once, and by the work as it is known by
   * now. A gateway that began after the endpoint follows one that may have sent all that it could:
   * it has nothing saved up.
   */
  private double firstDebtSeconds(Endpoint endpoint) {
    WarmUp warmUp = endpoint.warmUp;
    double longestSeconds = longestWorkNanos() / NANOS_PER_SECOND;
    double burstSeconds = burstSeconds(endpoint, warmUp.debtAtNanos);
    boolean isEndpointOlder = warmUp.startedAtNanos < gatewayStartedAtNanos;
    return warmUp.firstDebtDraw * longestSeconds
        + (isEndpointOlder ? Math.max(0, burstSeconds - longestSeconds) : -burstSeconds);
  }

  private long longestWorkNanos() {
    long longest = 0;
    for (TrafficClass trafficClass : trafficClasses) {
      longest = Math.max(longest, trafficClass.workNanos());
    }
    return longest;
  }
}
