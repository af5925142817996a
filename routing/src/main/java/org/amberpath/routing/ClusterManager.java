package org.amberpath.routing;

import java.util.SplittableRandom;

/**
 * Applies changes of the endpoint list and of the fleet to all components that keep state per
 * endpoint.
 */
final class ClusterManager {
  private static final double MIN_WEIGHT = 1e-3;

  private final RoutingConfig config;
  private final EndpointTable endpoints;
  private final GatewayShare gatewayShare;
  private final SlowStart slowStart;
  private final ConcurrencyLimiter limiter;
  private final SplittableRandom random;
  private boolean isSubscribed;

  /** Creates a manager of the given table and of the components that keep state per endpoint. */
  ClusterManager(
      RoutingConfig config,
      GatewayShare share,
      EndpointTable endpoints,
      SlowStart slowStart,
      ConcurrencyLimiter limiter,
      SplittableRandom random) {
    this.config = config;
    this.gatewayShare = share;
    this.endpoints = endpoints;
    this.slowStart = slowStart;
    this.limiter = limiter;
    this.random = random;
  }

  /**
   * Subscribes to the endpoint list if the configuration requires it and no subscription exists.
   */
  void subscribeIfNeeded(Batch batch) {
    if (!isSubscribed && config.requiresEndpointSubscription()) {
      isSubscribed = true;
      batch.actions().subscribeEndpoints();
    }
  }

  /** Begins an endpoint list; a full one removes all endpoints that it does not contain. */
  void beginList(EndpointListKind kind) {
    isSubscribed = kind != EndpointListKind.NONE;
    if (kind == EndpointListKind.FULL) {
      for (Endpoint endpoint : endpoints.all()) {
        endpoint.state = EndpointState.GONE;
      }
    }
  }

  /** Adds or updates one endpoint of the list that has begun. */
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

  /** Ends the list and recomputes what depends on all endpoints. */
  void endList(long nowNanos) {
    endpoints.rebuild();
    slowStart.updateWarmPeers(endpoints, nowNanos);
    limiter.assignShares(gatewayShare);
  }

  /**
   * Updates the number of gateways in the fleet and whether this gateway has a share. Limits of
   * shared targets shrink at once with the share, and grow only by timely responses.
   */
  void updateShare(int gateways, boolean isGranted, long nowNanos) {
    double previousEdgeFraction = gatewayShare.fractionOf(Endpoint.Role.EDGE);
    double previousOtherFraction = gatewayShare.fractionOf(Endpoint.Role.ORIGIN);
    gatewayShare.update(gateways, isGranted);
    limiter
        .originLimit()
        .rescale(previousOtherFraction, gatewayShare.fractionOf(Endpoint.Role.ORIGIN));
    for (Endpoint endpoint : endpoints.all()) {
      endpoint.limit.rescale(
          endpoint.isEdge() ? previousEdgeFraction : previousOtherFraction,
          gatewayShare.fractionOf(endpoint.role));
      slowStart.onShareChange(endpoint);
    }
    endList(nowNanos);
  }
}
