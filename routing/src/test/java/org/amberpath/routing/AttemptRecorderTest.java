package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AttemptRecorderTest {
  private static final long ENDED_AT = START + 50 * MS;
  private final RoutingParts parts = new RoutingParts();
  private final Attempt attempt = parts.attempt(parts.request(5), 1, 5);
  private final Endpoint endpoint = attempt.endpoint();
  private final Endpoint source = attempt.source();

  private void recordSentAndEnded(
      AttemptOutcome outcome, long durationMillis, ResponseDetail detail) {
    parts.recorder.recordSent(attempt, START);
    parts.recorder.recordEnded(
        attempt, outcome, durationMillis * MS, detail, parts.batch(ENDED_AT));
    assertEquals(0, endpoint.limit.inFlight);
  }

  @Test
  void sentAttemptCountsAtItsEndpointAndPartlyAtItsSource() {
    parts.recorder.recordSent(attempt, START);
    assertEquals(1, endpoint.limit.inFlight);
    assertEquals(0.5, source.limit.inFlight);
    assertEquals(
        START,
        endpoint.health.lastResponseNanos,
        "time without a response counts from the first request");
  }

  @Test
  void filledResponseCountsAsAResponseOfEndpointAndSource() {
    recordSentAndEnded(AttemptOutcome.SUCCEEDED, 50, ResponseDetail.FILLED);
    assertEquals(ENDED_AT, endpoint.health.lastResponseNanos);
    assertEquals(ENDED_AT, source.health.lastResponseNanos);
    assertEquals(START, source.limit.lastTimelySentNanos);
  }

  @Test
  void lateFillLowersTheLimitsOfItsSourceAndTheUplink() {
    recordSentAndEnded(AttemptOutcome.SUCCEEDED, 90, ResponseDetail.FILLED);
    assertEquals(ENDED_AT, source.limit.lastDecreaseNanos);
    assertEquals(ENDED_AT, parts.limiter.uplinkLimit().lastDecreaseNanos);
    assertEquals(0, endpoint.limit.lastDecreaseNanos);
  }

  @Test
  void rejectionLowersTheLimitOfTheTargetThatRejected() {
    recordSentAndEnded(AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
    assertEquals(ENDED_AT, endpoint.limit.lastDecreaseNanos);
    Attempt nextAttempt = parts.attempt(attempt.request(), 2, 5);
    parts.recorder.recordEnded(
        nextAttempt,
        AttemptOutcome.FAILED,
        MS,
        ResponseDetail.ORIGIN_FAILED,
        parts.batch(ENDED_AT));
    assertEquals(ENDED_AT, parts.limiter.originLimit().lastDecreaseNanos);
    assertEquals(0, source.limit.lastDecreaseNanos);
  }

  @Test
  void failedConnectEjectsAndLostConnectionCountsAsFailure() {
    recordSentAndEnded(AttemptOutcome.CONNECTION_LOST, 1, ResponseDetail.NONE);
    assertEquals(1, endpoint.health.failuresSinceResponse);
    recordSentAndEnded(AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    assertTrue(endpoint.health.isEjected());
  }
}
