package org.amberpath.routing;

import java.util.SplittableRandom;

/** Takes changes of the endpoint list and of the fleet to all that keep state by endpoint. */
final class ClusterManager {
  private static final double MIN_WEIGHT = 1e-3;

  private final RoutingConfig config;
  private final EndpointTable endpoints;
  private final GatewayShare share;
  private final SlowStart slowStart;
  private final ConcurrencyLimiter limiter;
  private final SplittableRandom random;

  /** A manager of the given table and of those that keep state by its endpoints. */
  ClusterManager(
      RoutingConfig config,
      GatewayShare share,
      EndpointTable endpoints,
      SlowStart slowStart,
      ConcurrencyLimiter limiter,
      SplittableRandom random) {
    this.config = config;
    this.share = share;
    this.endpoints = endpoints;
    this.slowStart = slowStart;
    this.limiter = limiter;
    this.random = random;
  }

  /** A list begins: a full one replaces all endpoints that it does not name. */
  void beginList(EndpointListKind listing) {
    if (listing == EndpointListKind.FULL) {
      for (Endpoint endpoint : endpoints.all()) {
        endpoint.state = EndpointState.GONE;
      }
    }
  }

  /** One endpoint of the list that has begun. */
  void update(EndpointDescription description, Batch batch) {
    Endpoint endpoint = endpoints.getOrAdd(description.index(), description.id());
    endpoint.zone = description.zone();
    endpoint.cell = description.cell();
    endpoint.state = description.state();
    endpoint.weight = config.weightIsSize() ? Math.max(description.weight(), MIN_WEIGHT) : 1;
    endpoint.role = roleOf(description.kind());
    endpoint.warmUp.profile = slowStart.profileOf(description.kind(), endpoint.role);
    if (description.startedAtNanos() > endpoint.warmUp.startedAtNanos) {
      restart(endpoint, description.startedAtNanos(), batch);
    }
    if (endpoint.isEdge()) {
      boolean isEjected = endpoint.isUp() && endpoint.health.isEjected();
      batch
          .actions()
          .endpointHealthChanged(
              endpoint.index,
              isEjected ? EndpointHealthStatus.SUSPECT : EndpointHealthStatus.HEALTHY);
    }
  }

  private Endpoint.Role roleOf(String kind) {
    if (config.parentKind().filter(kind::equals).isPresent()) {
      return Endpoint.Role.PARENT;
    }
    return config.originKind().filter(kind::equals).isPresent()
        ? Endpoint.Role.ORIGIN
        : Endpoint.Role.EDGE;
  }

  private void restart(Endpoint endpoint, long startedAtNanos, Batch batch) {
    endpoint.warmUp.startedAtNanos = startedAtNanos;
    endpoint.limit.reset();
    slowStart.onStart(endpoint, random, batch.nowNanos());
    endpoint.health.restart();
    if (endpoint.isEdge()
        && !endpoint.warmUp.isComplete(batch.nowNanos())
        && endpoint.zone.equals(config.zone())) {
      batch
          .actions()
          .endpointWarmingUp(
              endpoint.index, startedAtNanos + endpoint.warmUp.profile.durationNanos);
    }
  }

  /** The list that had begun is complete. */
  void endList(long nowNanos) {
    endpoints.rebuild();
    slowStart.updateWarmPeers(endpoints, nowNanos);
    limiter.assignShares(share);
  }

  /**
   * The number of gateways has changed: limits of what all share shrink at once, and grow by
   * answers.
   */
  void updateShare(int gateways, boolean mayTake, long nowNanos) {
    double edgeBefore = share.fractionOf(Endpoint.Role.EDGE);
    double otherBefore = share.fractionOf(Endpoint.Role.ORIGIN);
    share.update(gateways, mayTake);
    limiter.originLimit().rescale(otherBefore, share.fractionOf(Endpoint.Role.ORIGIN));
    for (Endpoint endpoint : endpoints.all()) {
      endpoint.limit.rescale(
          endpoint.isEdge() ? edgeBefore : otherBefore, share.fractionOf(endpoint.role));
      slowStart.onShareChange(endpoint);
    }
    endList(nowNanos);
  }
}
