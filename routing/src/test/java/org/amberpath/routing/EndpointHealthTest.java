package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {
  private static final long MS = 1_000_000L;
  private static final long NOW = 1_000_000 * MS;
  private final EndpointHealth health = new EndpointHealth();

  @Test
  void endpointOnProbationReceivesAKeyFractionThatDoubles() {
    health.eject(NOW, 0);
    assertEquals(0, health.keyFraction(NOW));
    assertFalse(
        health.beginProbation(NOW - 1, NOW + 10 * MS), "alive before the ejection, not since");
    assertTrue(health.beginProbation(NOW, NOW + 10 * MS));
    assertEquals(1.0 / 16, health.keyFraction(NOW + 10 * MS));
    assertEquals(1.0 / 8, health.keyFraction(NOW + 510 * MS));
    assertEquals(1, health.keyFraction(NOW + 2010 * MS));
  }

  @Test
  void endpointPastProbationKeepsAllKeysHoweverLongItIsUnused() {
    health.eject(NOW, 0);
    health.beginProbation(NOW, NOW);
    for (long seconds = 3; seconds < 200; seconds++) {
      assertEquals(1, health.keyFraction(NOW + seconds * 1000 * MS), seconds + " s");
      assertEquals(1, health.keyFraction(NOW + seconds * 1000 * MS + 500 * MS), seconds + ".5 s");
    }
  }

  @Test
  void eachEjectionDoublesTheBackoffUntilRecovery() {
    health.eject(NOW, 0);
    assertFalse(health.isBackoffOver(NOW + 124 * MS));
    assertTrue(health.isBackoffOver(NOW + 125 * MS));
    health.eject(NOW, 0);
    assertTrue(health.isBackoffOver(NOW + 250 * MS));
    assertFalse(health.isBackoffOver(NOW + 250 * MS, 1e9));
    for (int ejection = 0; ejection < 9; ejection++) {
      health.eject(NOW, 0);
    }
    assertEquals(EndpointHealth.maxBackoffNanos(), health.backoffNanos());
    health.recover();
    assertEquals(250 * MS, health.backoffNanos());
    assertEquals(1, health.keyFraction(NOW));
  }

  @Test
  void singleFailureSufficesOnlyWhileEjected() {
    health.overdueRequests = 1;
    assertFalse(health.isUnresponsive());
    health.failuresSinceResponse = 1;
    assertTrue(health.isUnresponsive());
    health.eject(NOW, 0);
    assertTrue(
        health.isUnresponsive(), "one overdue request suffices; the ejection reset the failures");
  }
}
