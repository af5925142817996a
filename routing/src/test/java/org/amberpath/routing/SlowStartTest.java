package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SlowStartTest {
  private final RoutingParts parts = new RoutingParts();
  private final SlowStart slowStart = parts.slowStart;
  private final Endpoint endpoint = parts.endpoint(1);

  @Test
  void warmEndpointAcceptsAllKeysWithoutABudget() {
    slowStart.charge(endpoint, 100, START);
    assertTrue(slowStart.hasBudgetFor(endpoint, parts.trafficClass, START));
    assertTrue(slowStart.acceptsKey(endpoint, 0.999, START));
  }

  @Test
  void endpointWarmingUpAcceptsAFractionOfItsKeysWithinABudget() {
    parts.update(1, EndpointState.UP, START);
    assertTrue(slowStart.acceptsKey(endpoint, 0.08, START));
    assertFalse(
        slowStart.acceptsKey(endpoint, 0.1, START),
        "0.1 of the keys, minus a reserve for unseen load");
    slowStart.charge(endpoint, 1, START);
    assertFalse(slowStart.hasBudgetFor(endpoint, parts.trafficClass, START));
    assertTrue(slowStart.hasBudgetFor(endpoint, parts.trafficClass, START + 2000 * MS));
  }

  @Test
  void refundLowersTheDebtButAccruesNoCredit() {
    parts.update(1, EndpointState.UP, START);
    slowStart.charge(endpoint, 1, START);
    slowStart.refund(endpoint, 0.9, START);
    assertEquals(0.1, endpoint.warmUp.debtSeconds, 1e-9);
    slowStart.refund(endpoint, 0.9, START);
    assertEquals(0, endpoint.warmUp.debtSeconds);
    Route route = new Route(parts.endpoint(0), endpoint, false);
    assertEquals(0.3, slowStart.refundableSeconds(route, parts.trafficClass, START), 1e-9);
    assertEquals(
        0,
        slowStart.refundableSeconds(
            new Route(endpoint, endpoint, false), parts.trafficClass, START));
  }

  @Test
  void prefetchesGoAtIntervalsOnlyToHealthyEndpointsWarmingUp() {
    assertFalse(slowStart.tryPrefetch(endpoint, parts.trafficClass, START), "warm");
    parts.update(1, EndpointState.UP, START);
    assertTrue(slowStart.tryPrefetch(endpoint, parts.trafficClass, START));
    assertFalse(slowStart.tryPrefetch(endpoint, parts.trafficClass, START));
    endpoint.health.eject(START, 0);
    assertFalse(slowStart.tryPrefetch(endpoint, parts.trafficClass, START + 5000 * MS));
  }

  @Test
  void throughputIsLearnedFromWarmPeersOfTheSameKind() {
    for (Endpoint peer : parts.endpoints.zoneEdges()) {
      peer.warmUp.recordServedWork(20, START);
    }
    slowStart.learnThroughput(parts.endpoints.zoneEdges(), START);
    assertEquals(5, endpoint.warmUp.profile.typicalThroughput, 1e-9);
    assertEquals(
        1.0 / 3, parts.endpoint(5).warmUp.profile.typicalThroughput, "parents are of another kind");
  }
}
