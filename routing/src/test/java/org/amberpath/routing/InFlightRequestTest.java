package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class InFlightRequestTest {
  private final RoutingParts parts = new RoutingParts();
  private final InFlightRequest request = parts.request(5);

  @Test
  void deadlineFollowsFromTheTimeLeft() {
    assertEquals(1900 * MS, request.timeLeftNanos(START + 100 * MS));
  }

  @Test
  void earliestAttemptThatMayHaveExecutedIsRecorded() {
    Attempt first = parts.attempt(request, 0, 5);
    Attempt later = new Attempt(request, 1, first.route(), START + MS, 0);
    request.recordExecuted(later);
    request.recordExecuted(first);
    request.recordExecuted(later);
    assertEquals(first, request.earliestExecuted);
  }

  @Test
  void attemptIsOverdueAfterTheSoftTimeoutOfItsRequest() {
    Attempt attempt = parts.attempt(request, 0, 0);
    assertFalse(attempt.hasSource());
    assertFalse(attempt.isOverdue(START + 100 * MS));
    assertTrue(attempt.isOverdue(START + 101 * MS));
  }
}
