package org.amberpath.routing;

import java.util.SplittableRandom;

/**
 * Ejects endpoints that keep requests waiting and give no sign of life, and lets them back by a
 * trickle. Guards against crashed, hung and cut-off endpoints, which the list shows seconds late.
 * Source: docs/design.md, "The six mechanisms beside the design" and "Told by one for all".
 */
final class OutlierDetector {
  private static final long SILENCE_NANOS = 600_000_000L;

  /**
   * While one gateway checks for all, the others wait so much longer, by turns, before they try by
   * themselves.
   */
  private static final long DELEGATED_PAUSE_NANOS = 4 * EndpointHealth.maxBackoffNanos();

  private final long seed;
  private final EndpointTable endpoints;
  private final GatewayShare share;
  private final SlowStart slowStart;
  private final SplittableRandom random;
  private boolean isChecking = true;

  /**
   * A detector of endpoints none of which is ejected; seed and random numbers spread the checks of
   * many gateways.
   */
  OutlierDetector(
      long seed,
      EndpointTable endpoints,
      GatewayShare share,
      SlowStart slowStart,
      SplittableRandom random) {
    this.seed = seed;
    this.endpoints = endpoints;
    this.share = share;
    this.slowStart = slowStart;
    this.random = random;
  }

  /** Whether one gateway checks ejected endpoints for all, so that this one leaves them to it. */
  void setDelegated(boolean delegated) {
    isChecking = !delegated;
  }

  /**
   * Takes an endpoint's keys away, unless it is the origin or is ejected already and still in its
   * pause.
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

  /** An answer has come from an endpoint, to a request that was sent then, in nanoseconds. */
  void onAnswer(Endpoint endpoint, long sentAtNanos, Batch batch) {
    EndpointHealth health = endpoint.health;
    health.lastResponseNanos = batch.nowNanos();
    health.failures = 0;
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
   * The fleet's checker has asked an endpoint that others ejected. Guards against reports that
   * newer answers contradict, and against most endpoints being ejected by it.
   */
  void onFleetReport(Endpoint endpoint, boolean answers, long agoNanos, Batch batch) {
    long seenAtNanos = batch.nowNanos() - agoNanos;
    if (!endpoint.isUp()) {
      return;
    }
    EndpointHealth health = endpoint.health;
    if (answers && health.isBackoffOver(batch.nowNanos())) {
      readmit(endpoint, seenAtNanos, batch);
    } else if (!answers
        && health.isServing(batch.nowNanos())
        && health.lastResponseNanos < seenAtNanos
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
   * Whether an endpoint takes a key, by the key's place in the shared hash: slow start's slice, and
   * the trickle.
   */
  boolean takesKey(Endpoint endpoint, double place, long nowNanos) {
    if (endpoint.health.isEjected()) {
      double laterNanos = isChecking ? 0 : delegatedPauseNanos(endpoint);
      return endpoint.health.isBackoffOver(nowNanos, laterNanos) && endpoint.limit.inFlight == 0;
    }
    return place < endpoint.health.keyFraction(nowNanos)
        && slowStart.takesKey(endpoint, place, nowNanos);
  }

  private double delegatedPauseNanos(Endpoint endpoint) {
    double place = RendezvousSelector.toUnit(RendezvousSelector.mix(endpoint.hash ^ seed));
    return place * share.gatewaysInZone() * DELEGATED_PAUSE_NANOS;
  }

  /** Whether a health check may be sent: to an ejected endpoint one at a time, after its pause. */
  boolean permitsHealthCheck(Endpoint endpoint, long nowNanos) {
    return endpoint.health.isServing(nowNanos)
        || (endpoint.health.isBackoffOver(nowNanos) && endpoint.limit.inFlight == 0);
  }

  /** Counts anew how many requests wait for each endpoint past their time. */
  void recountOverdue(Iterable<Attempt> openAttempts, long nowNanos) {
    for (Endpoint endpoint : endpoints.all()) {
      endpoint.health.overdue = 0;
    }
    for (Attempt attempt : openAttempts) {
      if (!attempt.request().done && attempt.isOverdue(nowNanos)) {
        EndpointHealth health = attempt.endpoint().health;
        health.overdue++;
        boolean isEndpointWell =
            health.lastResponseNanos > attempt.sentAtNanos() + attempt.request().patienceNanos;
        attempt.source().health.overdue += attempt.hasSource() && isEndpointWell ? 1 : 0;
      }
    }
  }

  /**
   * Whether an attempt's endpoint is ejected or, since it was sent, has given no sign of life for
   * long. Guards a request that waits alone on a connection that its endpoint has forgotten: one is
   * too little to eject by, yet another endpoint would serve it.
   */
  boolean isSilentSince(Attempt attempt) {
    EndpointHealth health = attempt.endpoint().health;
    return health.isEjected()
        || (health.suspected && health.lastResponseNanos <= attempt.sentAtNanos());
  }

  /**
   * Ejects those who keep requests waiting and give no sign of life, unless most of their peers do
   * the same.
   */
  void detectOutliers(Endpoint[] peers, Batch batch) {
    boolean isMajorityHealthy = isMajorityHealthy(peers, batch.nowNanos());
    for (Endpoint endpoint : peers) {
      EndpointHealth health = endpoint.health;
      if (health.isUnremarkable()) {
        continue; // Most of many endpoints: nothing waits for them past its time.
      }
      boolean isSilent =
          endpoint.isUp() && batch.nowNanos() - health.lastResponseNanos > SILENCE_NANOS;
      if (isSilent && health.isUnresponsive() && isMajorityHealthy) {
        eject(endpoint, batch);
      } else if (endpoint.isEdge()
          && health.isServing(batch.nowNanos())
          && health.suspected != (isSilent && health.overdue > 0)) {
        health.suspected =
            !health.suspected; // Too little to go by alone; others may have seen the same.
        batch
            .actions()
            .endpointHealthChanged(
                endpoint.index,
                health.suspected ? EndpointHealthStatus.SUSPECT : EndpointHealthStatus.HEALTHY);
      }
    }
  }

  private static boolean isMajorityHealthy(Endpoint[] peers, long nowNanos) {
    int balance = 0;
    for (Endpoint peer : peers) {
      if (peer.isUp()) {
        balance += !peer.health.isUnresponsive() && peer.health.isServing(nowNanos) ? 1 : -1;
      }
    }
    return balance >= 0;
  }
}
