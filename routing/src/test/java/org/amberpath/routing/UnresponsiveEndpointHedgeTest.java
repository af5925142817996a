package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests a single overdue attempt at an endpoint that does not respond, and how the attempt and its
 * hedge count in the limits.
 */
class UnresponsiveEndpointHedgeTest {
  private static final long IN_FLIGHT_NANOS = 700 * MS;

  private final RoutingParts parts = new RoutingParts();
  private final Attempt attempt = parts.attempt(parts.request(1), 1, 5);

  /**
   * One overdue request does not suffice to eject an endpoint; a response that arrived after the
   * request was sent shows that the endpoint is alive. The first argument is the time of the last
   * response relative to the send time, in milliseconds.
   */
  @ParameterizedTest
  @CsvSource({"0, true", "-1, true", "50, false"})
  void endpointIsUnresponsiveForAnAttemptWithoutAResponseSinceItWasSent(
      long respondedAfterMillis, boolean isUnresponsive) {
    EndpointHealth health = attempt.endpoint().health;
    for (Endpoint peer : parts.endpoints.zoneEdges()) {
      peer.health.lastResponseNanos = START + IN_FLIGHT_NANOS;
    }
    health.lastResponseNanos = START + respondedAfterMillis * MS;
    assertFalse(parts.detector.isEndpointUnresponsive(attempt), "not suspected before the sweep");
    parts.detector.recountOverdue(List.of(attempt), START + IN_FLIGHT_NANOS);
    parts.detector.detectOutliers(
        parts.endpoints.zoneEdges(), parts.batch(START + IN_FLIGHT_NANOS));
    assertFalse(health.isEjected());
    assertEquals(isUnresponsive, parts.detector.isEndpointUnresponsive(attempt));
  }

  @Test
  void attemptPastItsDeadlineCountsAtNoSource() {
    long deadlineNanos = attempt.request().deadlineNanos;
    parts.limiter.recountFills(List.of(attempt), deadlineNanos - MS);
    assertTrue(attempt.source().limit.inFlight > 0);
    parts.limiter.recountFills(List.of(attempt), deadlineNanos);
    assertEquals(0, attempt.source().limit.inFlight);
    assertEquals(0, parts.limiter.uplinkLimit().inFlight);
  }

  /**
   * A hedge that was sent shortly before the deadline times out before it is overdue; its source
   * was not late.
   */
  @ParameterizedTest
  @CsvSource({"50, false", "150, true"})
  void timedOutHedgeLowersTheLimitOfItsSourceOnlyIfItWasOverdue(
      long inFlightMillis, boolean isLowered) {
    Attempt hedge = parts.attempt(attempt.request(), 2, 6);
    double previousLimit = hedge.source().limit.limit();
    long nowNanos = START + inFlightMillis * MS;
    parts.recorder.recordSent(hedge, START);
    parts.recorder.recordEnded(
        hedge,
        AttemptOutcome.TIMED_OUT,
        inFlightMillis * MS,
        ResponseDetail.NONE,
        parts.batch(nowNanos));
    assertEquals(isLowered, hedge.source().limit.limit() < previousLimit);
  }
}
