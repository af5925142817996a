package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.ORIGIN;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConcurrencyLimiterTest {
  private final RoutingParts parts = new RoutingParts();
  private final ConcurrencyLimiter limiter = parts.limiter;

  @Test
  void fillCountsFullyAtItsSourceAndPartlyAtTheOrigin() {
    Attempt attempt = parts.attempt(parts.request(5), 0, 5);
    limiter.addFill(attempt, 1, START);
    assertEquals(1, parts.endpoint(5).limit.inFlight);
    assertEquals(0.5, limiter.originLimit().inFlight);
    limiter.addFill(parts.attempt(parts.request(5), 0, ORIGIN), 1, START);
    assertEquals(1.5, limiter.originLimit().inFlight);
  }

  @Test
  void overdueFillCountsFullyAtAnOriginThatWasLate() {
    limiter.originLimit().onResponse(START + 150 * MS, false);
    limiter.addFill(parts.attempt(parts.request(5), 0, 5), 1, START + 200 * MS);
    assertEquals(1, limiter.originLimit().inFlight);
  }

  @Test
  void overtakenFillIsNotRecounted() {
    Attempt attempt = parts.attempt(parts.request(5), 0, 5);
    limiter.recountFills(List.of(attempt), START + 50 * MS);
    assertEquals(
        1, parts.endpoint(5).limit.inFlight, "in flight for over a third of the soft timeout");
    assertEquals(1, limiter.uplinkLimit().inFlight);
    parts.endpoint(5).limit.lastTimelySentNanos = START + 200 * MS;
    limiter.originLimit().lastTimelySentNanos = START + 200 * MS;
    assertTrue(limiter.isOvertakenByLaterFills(attempt));
    limiter.recountFills(List.of(attempt), START + 300 * MS);
    assertEquals(0, parts.endpoint(5).limit.inFlight);
  }

  @Test
  void saturatedOriginStopsFillsExceptOfUncacheableRequests() {
    InFlightRequest request = parts.request(5);
    assertFalse(limiter.mustNotFillFromOrigin(request, START));
    limiter.originLimit().inFlight = 1000;
    assertTrue(limiter.mustNotFillFromOrigin(request, START));
    request.uncacheable = true;
    assertFalse(limiter.mustNotFillFromOrigin(request, START));
    request.originFailed = true;
    assertTrue(limiter.mustNotFillFromOrigin(request, START));
  }

  @Test
  void spillOverBoundGrowsWithTheLoadOfThePeers() {
    double idle = limiter.spillOverBound(parts.endpoints.zoneEdges());
    assertEquals(4.0 / 16, idle);
    parts.endpoint(0).limit.inFlight = 16;
    assertEquals(idle + 1.75, limiter.spillOverBound(parts.endpoints.zoneEdges()));
  }
}
