package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WarmUpTest {
  private final WarmUp warmUp = new WarmUp();

  @Test
  void capacityRisesLinearlyFromTheInitialFraction() {
    warmUp.profile = new SlowStartProfile(new SlowStartConfig(0.2, 1000, 3), 1);
    assertTrue(warmUp.isComplete(500), "no start time: it has long been running");
    warmUp.startedAtNanos = 5000;
    assertEquals(0.2, warmUp.capacityFraction(4000));
    assertEquals(0.6, warmUp.capacityFraction(5500), 1e-9);
    assertFalse(warmUp.isComplete(5999));
    assertTrue(warmUp.isComplete(6000));
  }

  @Test
  void throughputDecaysOverFourSeconds() {
    warmUp.recordServedWork(4, 0);
    assertEquals(1, warmUp.throughput(0));
    assertEquals(Math.exp(-1), warmUp.throughput(4_000_000_000L), 1e-9);
  }
}
