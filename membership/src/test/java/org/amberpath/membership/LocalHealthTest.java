package org.amberpath.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests Lifeguard's local health multiplier. */
class LocalHealthTest {
  private static final long TIMEOUT = 150;

  private final LocalHealth health = new LocalHealth();

  @Test
  void timeoutGrowsAsHealthWorsensUpToABoundAndShrinksAsItImproves() {
    assertEquals(TIMEOUT, health.scale(TIMEOUT));
    health.worsen();
    assertEquals(2 * TIMEOUT, health.scale(TIMEOUT));
    for (int event = 0; event < 20; event++) {
      health.worsen();
    }
    assertEquals(7 * TIMEOUT, health.scale(TIMEOUT));
    health.improve();
    assertEquals(6 * TIMEOUT, health.scale(TIMEOUT));
    for (int answer = 0; answer < 20; answer++) {
      health.improve();
    }
    assertEquals(TIMEOUT, health.scale(TIMEOUT));
  }

  @Test
  void pauseSetsTheLongestTimeoutImmediately() {
    health.worsenToMaximum();
    assertEquals(7 * TIMEOUT, health.scale(TIMEOUT));
  }
}
