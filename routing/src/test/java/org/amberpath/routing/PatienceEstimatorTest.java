package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PatienceEstimatorTest {
  private final RoutingParts parts = new RoutingParts();
  private final PatienceEstimator estimator = new PatienceEstimator(parts.history, 1000);
  private final InFlightRequest request = parts.request(5);

  @Test
  void knownSizeDeterminesThePatience() {
    estimator.estimate(request, 100);
    assertEquals((300 + 2 * 100) * MS, request.patienceNanos);
    assertTrue(request.sizeKnown && request.durationKnown);
  }

  @Test
  void unknownSizeFallsBackToTheShortestResponseThenToTheClassMean() {
    estimator.estimate(request, 0);
    assertEquals((300 + 2 * 300) * MS, request.patienceNanos);
    assertFalse(request.sizeKnown || request.durationKnown);
    parts.history.observe(5, 0, false, 1);
    parts.history.recordResponseTime(5, 50 * MS);
    estimator.estimate(request, 0);
    assertEquals((300 + 2 * 50) * MS, request.patienceNanos);
    assertTrue(request.durationKnown);
  }
}
