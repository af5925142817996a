package org.amberpath.routing;

import java.util.SplittableRandom;

/**
 * Ejects endpoints that have overdue requests and do not respond at all, and readmits them
 * gradually. Guards against crashed, hung and unreachable endpoints, which the endpoint list shows
 * only seconds later. Source: docs/design.md, "Outlier detection" and "Reports of one gateway for
 * all".
 */
final class OutlierDetector {
  private static final long NO_RESPONSE_NANOS = 600_000_000L;

  /**
   * While one gateway checks ejected endpoints on behalf of all, a gateway waits up to this much
   * longer, times the number of gateways in the zone, before it sends a client's request to an
   * ejected endpoint.
   */
  private static final long DELEGATED_BACKOFF_PER_GATEWAY_NANOS =
      4 * EndpointHealth.maxBackoffNanos();

  private final long seed;
  private final EndpointTable endpoints;
  private final GatewayShare gatewayShare;
  private final SlowStart slowStart;
  private final SplittableRandom random;
  private boolean checksEjectedEndpoints = true;

  /**
   * Creates a detector without ejected endpoints; the seed and the random numbers spread the checks
   * of many gateways over time.
   */
  OutlierDetector(
      long seed,
      EndpointTable endpoints,
      GatewayShare share,
      SlowStart slowStart,
      SplittableRandom random) {
    this.seed = seed;
    this.endpoints = endpoints;
    this.gatewayShare = share;
    this.slowStart = slowStart;
    this.random = random;
  }

  /** Sets whether one gateway checks ejected endpoints on behalf of all gateways. */
  void setDelegated(boolean delegated) {
    checksEjectedEndpoints = !delegated;
  }

  /**
   * Ejects an endpoint, except the origin and one that is already ejected with a backoff that has
   * not passed.
   */
  void eject(Endpoint endpoint, Batch batch) {
    EndpointHealth health = endpoint.health;
    if (endpoint == endpoints.origin()
        || (!health.isServing(batch.nowNanos()) && !health.isBackoffOver(batch.nowNanos()))) {
      return;
    }
    health.eject(batch.nowNanos(), random.nextLong(health.backoffNanos()));
    if (endpoint.isEdge()) {
      batch.actions().endpointHealthChanged(endpoint.index, EndpointHealthStatus.SUSPECT);
      health.suspected = true;
    }
  }

  /**
   * Records that an endpoint has responded to a request that was sent at the given time, in
   * nanoseconds.
   */
  void onResponse(Endpoint endpoint, long sentAtNanos, Batch batch) {
    EndpointHealth health = endpoint.health;
    health.lastResponseNanos = batch.nowNanos();
    health.failuresSinceResponse = 0;
    if (health.suspected) {
      health.suspected = false;
      batch.actions().endpointHealthChanged(endpoint.index, EndpointHealthStatus.RESPONSIVE);
    }
    if (health.keyFraction(batch.nowNanos()) == 1) {
      health.recover();
    } else {
      readmit(endpoint, sentAtNanos, batch);
    }
  }

  /**
   * Applies a health report of the gateway that checks ejected endpoints; the endpoint may be
   * unknown to this gateway. Guards against reports that newer responses contradict, and against
   * ejecting most endpoints because of reports.
   */
  void onHealthReport(int endpointIndex, boolean responded, long ageNanos, Batch batch) {
    Endpoint endpoint = endpoints.get(endpointIndex);
    if (endpoint == null || !endpoint.isUp()) {
      return;
    }
    long observedAtNanos = batch.nowNanos() - ageNanos;
    EndpointHealth health = endpoint.health;
    if (responded && health.isBackoffOver(batch.nowNanos())) {
      readmit(endpoint, observedAtNanos, batch);
    } else if (!responded
        && health.isServing(batch.nowNanos())
        && health.lastResponseNanos < observedAtNanos
        && isMajorityHealthy(endpoints.zoneEdges(), batch.nowNanos())) {
      eject(endpoint, batch);
    }
  }

  private void readmit(Endpoint endpoint, long aliveAtNanos, Batch batch) {
    if (endpoint.health.beginProbation(aliveAtNanos, batch.nowNanos())) {
      batch.actions().endpointHealthChanged(endpoint.index, EndpointHealthStatus.HEALTHY);
    }
  }

  /**
   * Whether an endpoint accepts a key. The key must lie in the fractions that slow start and
   * probation allow; an ejected endpoint accepts a single request after its backoff.
   *
   * @param keyPosition the key's position in the shared hash, 0 to 1
   */
  boolean acceptsKey(Endpoint endpoint, double keyPosition, long nowNanos) {
    if (endpoint.health.isEjected()) {
      double additionalDelayNanos = checksEjectedEndpoints ? 0 : delegatedBackoffNanos(endpoint);
      return endpoint.health.isBackoffOver(nowNanos, additionalDelayNanos)
          && endpoint.limit.inFlight == 0;
    }
    return keyPosition < endpoint.health.keyFraction(nowNanos)
        && slowStart.acceptsKey(endpoint, keyPosition, nowNanos);
  }

  private double delegatedBackoffNanos(Endpoint endpoint) {
    double spreadFraction = RendezvousSelector.toUnit(RendezvousSelector.mix(endpoint.hash ^ seed));
    return spreadFraction * gatewayShare.gatewaysInZone() * DELEGATED_BACKOFF_PER_GATEWAY_NANOS;
  }

  /**
   * Whether a health check may be sent to an endpoint; an ejected one is sent one at a time, after
   * its backoff.
   */
  boolean permitsHealthCheck(Endpoint endpoint, long nowNanos) {
    return endpoint.health.isServing(nowNanos)
        || (endpoint.health.isBackoffOver(nowNanos) && endpoint.limit.inFlight == 0);
  }

  /** Recomputes the number of overdue requests at each endpoint. */
  void recountOverdue(Iterable<Attempt> openAttempts, long nowNanos) {
    for (Endpoint endpoint : endpoints.all()) {
      endpoint.health.overdueRequests = 0;
    }
    for (Attempt attempt : openAttempts) {
      if (!attempt.request().finished && attempt.isOverdue(nowNanos)) {
        EndpointHealth health = attempt.endpoint().health;
        health.overdueRequests++;
        boolean isEndpointResponsive =
            health.lastResponseNanos > attempt.sentAtNanos() + attempt.request().softTimeoutNanos;
        attempt.source().health.overdueRequests +=
            attempt.hasSource() && isEndpointResponsive ? 1 : 0;
      }
    }
  }

  /**
   * Whether an attempt's endpoint is ejected, or is suspected and has not responded since the
   * attempt was sent. Guards a single request on a connection that its endpoint has lost: one
   * overdue request does not suffice to eject the endpoint, but another endpoint can serve the
   * request.
   */
  boolean isEndpointUnresponsive(Attempt attempt) {
    EndpointHealth health = attempt.endpoint().health;
    return health.isEjected()
        || (health.suspected && health.lastResponseNanos <= attempt.sentAtNanos());
  }

  /**
   * Ejects the endpoints that have overdue requests and do not respond, unless most of their peers
   * do not respond either.
   */
  void detectOutliers(Endpoint[] peers, Batch batch) {
    boolean isMajorityHealthy = isMajorityHealthy(peers, batch.nowNanos());
    for (Endpoint endpoint : peers) {
      EndpointHealth health = endpoint.health;
      if (health.needsNoEvaluation()) {
        continue; // Applies to most endpoints: they have no overdue requests.
      }
      boolean hasNoRecentResponse =
          endpoint.isUp() && batch.nowNanos() - health.lastResponseNanos > NO_RESPONSE_NANOS;
      if (hasNoRecentResponse && health.isUnresponsive() && isMajorityHealthy) {
        eject(endpoint, batch);
      } else if (endpoint.isEdge()
          && health.isServing(batch.nowNanos())
          && health.suspected != (hasNoRecentResponse && health.overdueRequests > 0)) {
        // Not sufficient to eject the endpoint; other gateways may have observed the same.
        health.suspected = !health.suspected;
        batch
            .actions()
            .endpointHealthChanged(
                endpoint.index,
                health.suspected ? EndpointHealthStatus.SUSPECT : EndpointHealthStatus.HEALTHY);
      }
    }
  }

  private static boolean isMajorityHealthy(Endpoint[] peers, long nowNanos) {
    int healthyMinusUnhealthy = 0;
    for (Endpoint peer : peers) {
      if (peer.isUp()) {
        healthyMinusUnhealthy +=
            !peer.health.isUnresponsive() && peer.health.isServing(nowNanos) ? 1 : -1;
      }
    }
    return healthyMinusUnhealthy >= 0;
  }
}
