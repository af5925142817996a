package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SoftTimeoutEstimatorTest {
  private final RoutingParts parts = new RoutingParts();
  private final SoftTimeoutEstimator estimator = new SoftTimeoutEstimator(parts.history, 1000);
  private final InFlightRequest request = parts.request(5);

  @Test
  void knownSizeDeterminesTheSoftTimeout() {
    estimator.estimate(request, 100);
    assertEquals((300 + 2 * 100) * MS, request.softTimeoutNanos);
    assertTrue(request.durationKnownFromSize && request.canJudgeLatency);
  }

  @Test
  void unknownSizeFallsBackToTheShortestResponseThenToTheClassMean() {
    estimator.estimate(request, 0);
    assertEquals((300 + 2 * 300) * MS, request.softTimeoutNanos);
    assertFalse(request.durationKnownFromSize || request.canJudgeLatency);
    parts.history.observe(5, 0, false, 1);
    parts.history.recordResponseTime(5, 50 * MS);
    estimator.estimate(request, 0);
    assertEquals((300 + 2 * 50) * MS, request.softTimeoutNanos);
    assertTrue(request.canJudgeLatency);
  }
}
