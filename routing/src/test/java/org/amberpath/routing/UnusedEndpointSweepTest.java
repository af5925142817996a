package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards the sweep's shortcuts for endpoints without requests: results must be the same as if every
 * sweep processed every endpoint.
 */
class UnusedEndpointSweepTest {
  private static final int SWEEPS = 500;

  private final RoutingParts parts = new RoutingParts();

  @Test
  void idleTimeAccruesNoCreditForALimit() {
    ConcurrencyLimit idle = new ConcurrencyLimit(nowNanos -> 1);
    idle.setShare(0.01, 24);
    for (int sweep = 0; sweep < SWEEPS; sweep++) {
      idle.advanceTo(START + sweep * 20L * MS);
    }
    long lastNanos = START + (SWEEPS - 1) * 20 * MS;
    idle.inFlight = 1;
    assertFalse(idle.hasRoom(lastNanos + 100 * MS, 1));
    idle.inFlight = 0;
    assertFalse(
        idle.hasRoom(lastNanos + 100 * MS, 1), "debt of 0.1 s with 1 request at a limit of 0.24");
    assertTrue(idle.hasRoom(lastNanos + 500 * MS, 1));
  }

  @Test
  void workReturnedAfterALongPauseCountsFromItsReturn() {
    WarmUp warmUp = parts.endpoint(0).warmUp;
    for (int sweep = 0; sweep < SWEEPS; sweep++) {
      assertEquals(0, warmUp.throughput(START + sweep * 20L * MS));
    }
    long lastNanos = START + SWEEPS * 20 * MS;
    warmUp.recordServedWork(4, lastNanos);
    assertEquals(1, warmUp.throughput(lastNanos), 1e-12, "4 s of work over 4 s");
    assertEquals(Math.exp(-1), warmUp.throughput(lastNanos + 4000 * MS), 1e-12);
  }

  /** The mean is over all warm endpoints of a kind, including those that have returned no work. */
  @Test
  void typicalThroughputIsTheMeanOverWarmPeersOfAKind() {
    parts.endpoint(0).warmUp.recordServedWork(40, START);
    parts.endpoint(1).warmUp.recordServedWork(20, START);
    parts.slowStart.learnThroughput(parts.endpoints.zoneEdges(), START);
    assertEquals(15.0 / 4, parts.endpoint(0).warmUp.profile.typicalThroughput, 1e-12);
  }

  @Test
  void suspicionIsClearedOnceNothingIsOverdue() {
    Endpoint endpoint = parts.endpoint(0);
    endpoint.health.overdueRequests = 1;
    parts.detector.detectOutliers(parts.endpoints.zoneEdges(), parts.batch(START));
    assertTrue(endpoint.health.suspected);
    endpoint.health.overdueRequests = 0;
    parts.detector.detectOutliers(parts.endpoints.zoneEdges(), parts.batch(START + 20 * MS));
    assertFalse(endpoint.health.suspected);
  }
}
