package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TrafficClassTest {
  private static final long MS = 1_000_000L;
  private final TrafficClass trafficClass = new TrafficClass(new FakeHost().trafficClass(0));

  @Test
  void latencyObjectiveStandsInForTheWorkUntilThereAreResponses() {
    assertEquals(300 * MS, trafficClass.workNanos());
    trafficClass.recordDuration(50 * MS);
    assertEquals(50.0 * MS, (double) trafficClass.workNanos(), 10.0 * MS);
  }

  @Test
  void fractionsFollowTheRoutesOfResponses() {
    assertEquals(0.5, trafficClass.missFraction());
    assertEquals(0.5, trafficClass.originFraction());
    for (int response = 0; response < 400; response++) {
      trafficClass.recordResponse(
          response % 4 == 0 ? ResponseDetail.FILLED_BY_ORIGIN : ResponseDetail.HIT);
    }
    assertEquals(0.25, trafficClass.missFraction(), 0.02);
    assertTrue(trafficClass.originFraction() > 0.95);
  }
}
