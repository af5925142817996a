package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {
  private final RoutingParts parts = new RoutingParts();
  private final RetryPolicy policy = parts.retryPolicy;

  /**
   * The request may have executed at endpoint 0. Endpoint 2 is in the same cell, endpoint 1 in
   * another cell of the same zone, and endpoint 5 in another zone.
   */
  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT, ALL, true, true, true",
    "NON_IDEMPOTENT, ALL, false, false, false",
    "IDEMPOTENCY_KEY, ALL, true, true, true",
    "IDEMPOTENCY_KEY, ZONE, true, true, false",
    "IDEMPOTENCY_KEY, CELL, true, false, false"
  })
  void executedRequestIsRetriedOnlyWithinItsIdempotencyScope(
      Idempotency idempotency,
      IdempotencyScope scope,
      boolean sameCell,
      boolean sameZone,
      boolean otherZone) {
    parts.configure(idempotency, scope);
    InFlightRequest request = parts.request(5);
    assertTrue(policy.permits(request, parts.endpoint(5), START), "no attempt has executed");
    request.recordExecuted(parts.attempt(request, 0, 5));
    assertEquals(sameCell, policy.permits(request, parts.endpoint(2), START));
    assertEquals(sameZone, policy.permits(request, parts.endpoint(1), START));
    assertEquals(otherZone, policy.permits(request, parts.endpoint(5), START));
    assertEquals(
        idempotency == Idempotency.IDEMPOTENT,
        policy.permits(request, parts.endpoint(2), START + 1000 * MS));
  }

  @Test
  void retryNeedsTimeLeftAndAResponseThatHasNotStarted() {
    InFlightRequest request = parts.request(5);
    assertTrue(policy.permitsAnother(request, START + 1980 * MS));
    assertFalse(policy.permitsAnother(request, START + 1981 * MS));
    request.streaming = true;
    assertFalse(policy.permitsAnother(request, START));
  }

  @Test
  void onlyASingleOverdueAttemptIsHedged() {
    InFlightRequest request = parts.request(5);
    Attempt attempt = parts.attempt(request, 0, 5);
    assertFalse(policy.permitsHedging(attempt, START + 100 * MS));
    assertTrue(policy.permitsHedging(attempt, START + 101 * MS));
    parts.attempt(request, 1, 5);
    assertFalse(policy.permitsHedging(attempt, START + 101 * MS));
  }

  @Test
  void clientMayRepeatARequestThatDidNotExecute() {
    parts.configure(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL);
    assertTrue(policy.isSafeToRepeat(parts.request(5)));
    assertFalse(policy.isSafeToRepeat(executedRequest()));
    parts.configure(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ALL);
    assertTrue(policy.isSafeToRepeat(executedRequest()));
    parts.configure(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ZONE);
    assertFalse(policy.isSafeToRepeat(executedRequest()));
  }

  private InFlightRequest executedRequest() {
    InFlightRequest request = parts.request(5);
    request.recordExecuted(parts.attempt(request, 0, 5));
    return request;
  }

  @ParameterizedTest
  @CsvSource({
    "COALESCED, false",
    "FILL_REJECTED, true",
    "FILL_SOURCE_MISS, true",
    "NOT_STORED_NO_SPACE, false",
    "ORIGIN_FAILED, true"
  })
  void faultsBehindTheEndpointAreSourceFaults(ResponseDetail detail, boolean isSourceFault) {
    assertEquals(isSourceFault, RetryPolicy.isSourceFault(detail));
  }
}
