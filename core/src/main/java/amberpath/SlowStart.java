package amberpath;

import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Endpoints that have just started get a thin slice of their keys that widens, and a budget of work a second: all
 * gateways together stay within what such an endpoint can surely serve. The bound is kept as a debt, since a part
 * of less than one request must still let one through at times. Source: docs/design.md, "The six mechanisms".
 */
final class SlowStart {
  /** Parts of what the endpoint can surely serve; the rest is for what others do unseen. */
  private static final double KEY_FRACTION = 0.9;
  private static final double BUDGET_FRACTION = 0.5;
  private static final double PREFETCH_FRACTION = 0.25;
  private static final double MIN_PREFETCH_RATE = 1e-6;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Site site;
  private final GatewayShare share;
  private final Map<String, SlowStartProfile> profiles = new TreeMap<>();

  /** Slow start as the site bounds it, for this gateway's share of it. */
  SlowStart(Site site, GatewayShare share) {
    this.site = site;
    this.share = share;
  }

  /** The profile of a kind of endpoints; as the site configures it, made when the kind is listed first. */
  SlowStartProfile profileOf(String kind, Endpoint.Role role) {
    return profiles.computeIfAbsent(kind, name -> role == Endpoint.Role.EDGE
        ? new SlowStartProfile(site.coldShare(), site.coldTime(), site.fallMultiple(), share.fractionOf(role))
        : new SlowStartProfile(site.parentColdShare(), site.parentColdTime(), site.parentFallMultiple(),
            share.fractionOf(role)));
  }

  /** An endpoint has started; its first debt is random, since not all gateways may send their first at once. */
  void onStart(Endpoint endpoint, long longestWorkNanos, SplittableRandom random, long nowNanos) {
    double debtNanos = random.nextDouble() * longestWorkNanos - budget(endpoint, nowNanos) * site.fallTime();
    endpoint.warmUp.debtSeconds = Math.max(0, debtNanos / NANOS_PER_SECOND);
    endpoint.warmUp.debtAtNanos = nowNanos;
  }

  /** Whether an endpoint's slice has a key, by its place in the shared hash, 0 to 1. */
  boolean takesKey(Endpoint endpoint, double place, long nowNanos) {
    double capacity = endpoint.warmUp.capacityFraction(nowNanos);
    return capacity >= 1 || place < KEY_FRACTION * capacity;
  }

  /**
   * Whether this gateway's part of what an endpoint can serve has room for one more request. A part under one request
   * lets one through while there is no debt, which becomes a debt in turn: the sum over all gateways is kept.
   */
  boolean affords(Endpoint endpoint, TrafficClass trafficClass, long nowNanos) {
    if (endpoint.warmUp.isComplete(nowNanos)) {
      return true;
    }
    double spareSeconds = budget(endpoint, nowNanos) * site.fallTime() / NANOS_PER_SECOND
        - trafficClass.workNanos() / NANOS_PER_SECOND;
    return debtSeconds(endpoint, nowNanos) <= Math.max(0, spareSeconds);
  }

  /** Puts work that was sent, in seconds, on an endpoint's account. */
  void charge(Endpoint endpoint, double workSeconds, long nowNanos) {
    endpoint.warmUp.debtSeconds = endpoint.warmUp.isComplete(nowNanos) ? 0
        : debtSeconds(endpoint, nowNanos) + workSeconds;
    endpoint.warmUp.debtAtNanos = nowNanos;
  }

  /** Whether an endpoint can serve one more request ahead of its clients; if so, the next is put off. */
  boolean tryPrefetch(Endpoint endpoint, TrafficClass trafficClass, long nowNanos) {
    WarmUp warmUp = endpoint.warmUp;
    if (!share.isGranted() || warmUp.isComplete(nowNanos) || endpoint.health.keyFraction(nowNanos) != 1
        || nowNanos < warmUp.nextPrefetchNanos) {
      return false;
    }
    double rate = PREFETCH_FRACTION / BUDGET_FRACTION * budget(endpoint, nowNanos) / warmUp.profile.gatewayFraction;
    warmUp.nextPrefetchNanos =
        nowNanos + (long) (trafficClass.workNanos() / Math.max(MIN_PREFETCH_RATE, rate));
    return true;
  }

  /**
   * Learns from warm peers what an endpoint of each kind returns. Guards against small caches that restarted
   * together: the large ones left serve more than they can.
   */
  void learnThroughput(Endpoint[] peers, long nowNanos) {
    for (SlowStartProfile profile : profiles.values()) {
      profile.typicalThroughput = Arrays.stream(peers)
          .filter(peer -> peer.warmUp.profile == profile && peer.isUp() && peer.health.isServing(nowNanos))
          .filter(peer -> peer.warmUp.isComplete(nowNanos)).mapToDouble(peer -> peer.warmUp.throughput(nowNanos))
          .average().orElse(profile.typicalThroughput);
      boundThroughput(profile);
    }
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

  /** Work a second that this gateway may send: by size where that is listed, else by what warm peers usually return. */
  private double budget(Endpoint endpoint, long atNanos) {
    SlowStartProfile profile = endpoint.warmUp.profile;
    double warm = site.weighsSizes() ? endpoint.weight * profile.gatewayFraction : profile.typicalThroughput;
    return BUDGET_FRACTION * profile.overloadFactor * endpoint.warmUp.capacityFraction(atNanos) * warm;
  }

  /** The debt for the work sent, in seconds: it is paid off at a rate that rises with the ramp. */
  private double debtSeconds(Endpoint endpoint, long nowNanos) {
    WarmUp warmUp = endpoint.warmUp;
    double paidSeconds = (budget(endpoint, warmUp.debtAtNanos) + budget(endpoint, nowNanos)) / 2
        * (nowNanos - warmUp.debtAtNanos) / NANOS_PER_SECOND;
    return Math.max(0, warmUp.debtSeconds - paidSeconds);
  }
}
