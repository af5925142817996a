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
  private final Endpoint cold = parts.endpoint(1);

  @Test
  void aWarmEndpointTakesAndAffordsEverything() {
    slowStart.charge(cold, 100, START);
    assertTrue(slowStart.affords(cold, parts.trafficClass, START));
    assertTrue(slowStart.takesKey(cold, 0.999, START));
  }

  @Test
  void aColdOneTakesASliceAndAffordsABudgetThatIsPaidOff() {
    parts.update(1, EndpointState.UP, START);
    assertTrue(slowStart.takesKey(cold, 0.08, START));
    assertFalse(slowStart.takesKey(cold, 0.1, START), "a tenth, less what others do unseen");
    slowStart.charge(cold, 1, START);
    assertFalse(slowStart.affords(cold, parts.trafficClass, START));
    assertTrue(slowStart.affords(cold, parts.trafficClass, START + 2000 * MS));
  }

  @Test
  void aSourceThatWasNotAskedGetsItsWorkBackButSavesNothingUpByIt() {
    parts.update(1, EndpointState.UP, START);
    slowStart.charge(cold, 1, START);
    slowStart.refund(cold, 0.9, START);
    assertEquals(0.1, cold.warmUp.debtSeconds, 1e-9);
    slowStart.refund(cold, 0.9, START);
    assertEquals(0, cold.warmUp.debtSeconds);
    Route route = new Route(parts.endpoint(0), cold, false);
    assertEquals(0.3, slowStart.refundableSeconds(route, parts.trafficClass, START), 1e-9);
    assertEquals(
        0, slowStart.refundableSeconds(new Route(cold, cold, false), parts.trafficClass, START));
  }

  @Test
  void onlyAColdHealthyEndpointIsPrefetchedToAndNotAtOnceAgain() {
    assertFalse(slowStart.tryPrefetch(cold, parts.trafficClass, START), "warm");
    parts.update(1, EndpointState.UP, START);
    assertTrue(slowStart.tryPrefetch(cold, parts.trafficClass, START));
    assertFalse(slowStart.tryPrefetch(cold, parts.trafficClass, START));
    cold.health.eject(START, 0);
    assertFalse(slowStart.tryPrefetch(cold, parts.trafficClass, START + 5000 * MS));
  }

  @Test
  void throughputIsLearntFromWarmPeersOfTheKind() {
    for (Endpoint peer : parts.endpoints.zoneEdges()) {
      peer.warmUp.recordReturned(20, START);
    }
    slowStart.learnThroughput(parts.endpoints.zoneEdges(), START);
    assertEquals(5, cold.warmUp.profile.typicalThroughput, 1e-9);
    assertEquals(1.0 / 3, parts.endpoint(5).warmUp.profile.typicalThroughput, "another kind");
  }
}
