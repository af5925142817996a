package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AttemptRecorderTest {
  private static final long LATER = START + 50 * MS;
  private final RoutingParts parts = new RoutingParts();
  private final Attempt attempt = parts.attempt(parts.request(5), 1, 5);
  private final Endpoint endpoint = attempt.endpoint();
  private final Endpoint source = attempt.source();

  private void end(AttemptOutcome outcome, long durationMillis, ResponseDetail detail) {
    parts.recorder.recordSent(attempt, START);
    parts.recorder.recordEnded(attempt, outcome, durationMillis * MS, detail, parts.batch(LATER));
    assertEquals(0, endpoint.limit.inFlight);
  }

  @Test
  void sentAttemptCountsAtItsEndpointAndPartlyAtItsSource() {
    parts.recorder.recordSent(attempt, START);
    assertEquals(1, endpoint.limit.inFlight);
    assertEquals(0.5, source.limit.inFlight);
    assertEquals(
        START, endpoint.health.lastResponseNanos, "silence counts from the first request on");
  }

  @Test
  void filledResponseIsASignOfLifeOfEndpointAndSource() {
    end(AttemptOutcome.SUCCEEDED, 50, ResponseDetail.FILLED);
    assertEquals(LATER, endpoint.health.lastResponseNanos);
    assertEquals(LATER, source.health.lastResponseNanos);
    assertEquals(START, source.limit.lastTimelySentNanos);
  }

  @Test
  void lateFillCutsTheLimitsOfItsSourceAndTheUplink() {
    end(AttemptOutcome.SUCCEEDED, 90, ResponseDetail.FILLED);
    assertEquals(LATER, source.limit.lastDecreaseNanos);
    assertEquals(LATER, parts.limiter.uplinkLimit().lastDecreaseNanos);
    assertEquals(0, endpoint.limit.lastDecreaseNanos);
  }

  @Test
  void rejectionCutsTheLimitOfTheTargetThatRejected() {
    end(AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
    assertEquals(LATER, endpoint.limit.lastDecreaseNanos);
    Attempt again = parts.attempt(attempt.request(), 2, 5);
    parts.recorder.recordEnded(
        again, AttemptOutcome.FAILED, MS, ResponseDetail.ORIGIN_FAILED, parts.batch(LATER));
    assertEquals(LATER, parts.limiter.originLimit().lastDecreaseNanos);
    assertEquals(0, source.limit.lastDecreaseNanos);
  }

  @Test
  void failedConnectEjectsAndLostConnectionCountsAsFailure() {
    end(AttemptOutcome.CONNECTION_LOST, 1, ResponseDetail.NONE);
    assertEquals(1, endpoint.health.failuresSinceResponse);
    end(AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    assertTrue(endpoint.health.isEjected());
  }
}
