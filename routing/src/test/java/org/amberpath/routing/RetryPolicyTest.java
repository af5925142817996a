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
   * After an attempt at endpoint 0 that may have run: endpoint 2 is of its cell, 1 of its zone, 5
   * of neither.
   */
  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT, ALL, true, true, true",
    "NON_IDEMPOTENT, ALL, false, false, false",
    "TOKENED, ALL, true, true, true",
    "TOKENED, ZONE, true, true, false",
    "TOKENED, CELL, true, false, false"
  })
  void whatMayHaveRunIsRepeatedOnlyWhereItsRepeatIsDropped(
      Idempotency effect,
      IdempotencyScope group,
      boolean sameCell,
      boolean sameZone,
      boolean elsewhere) {
    parts.site.effect = effect;
    parts.site.group = group;
    InFlightRequest request = parts.request(5);
    assertTrue(policy.permits(request, parts.endpoint(5), START), "nothing has run");
    request.recordExecuted(parts.attempt(request, 0, 5));
    assertEquals(sameCell, policy.permits(request, parts.endpoint(2), START));
    assertEquals(sameZone, policy.permits(request, parts.endpoint(1), START));
    assertEquals(elsewhere, policy.permits(request, parts.endpoint(5), START));
    assertEquals(
        effect == Idempotency.IDEMPOTENT,
        policy.permits(request, parts.endpoint(2), START + 1000 * MS));
  }

  @Test
  void aFurtherAttemptNeedsTimeAndARequestThatHasNotBegunToStream() {
    InFlightRequest request = parts.request(5);
    assertTrue(policy.permitsAnother(request, START + 1980 * MS));
    assertFalse(policy.permitsAnother(request, START + 1981 * MS));
    request.streaming = true;
    assertFalse(policy.permitsAnother(request, START));
  }

  @Test
  void onlyALoneOverdueAttemptIsHedged() {
    InFlightRequest request = parts.request(5);
    Attempt attempt = parts.attempt(request, 0, 5);
    assertFalse(policy.permitsHedging(attempt, START + 100 * MS));
    assertTrue(policy.permitsHedging(attempt, START + 101 * MS));
    parts.attempt(request, 1, 5);
    assertFalse(policy.permitsHedging(attempt, START + 101 * MS));
  }

  @Test
  void whoAsksMayRepeatWhatDidNotRun() {
    parts.site.effect = Idempotency.NON_IDEMPOTENT;
    InFlightRequest request = parts.request(5);
    assertTrue(policy.isSafeToRepeat(request));
    request.recordExecuted(parts.attempt(request, 0, 5));
    assertFalse(policy.isSafeToRepeat(request));
    parts.site.effect = Idempotency.IDEMPOTENCY_KEY;
    assertTrue(policy.isSafeToRepeat(request));
    parts.site.group = IdempotencyScope.ZONE;
    assertFalse(policy.isSafeToRepeat(request));
  }

  @ParameterizedTest
  @CsvSource({
    "JOINED, false",
    "SOURCE_TURNED_AWAY, true",
    "SOURCE_LACKS, true",
    "NO_PLACE, false",
    "ORIGIN_ERRORED, true"
  })
  void faultsBehindTheEndpointAreTheSources(ResponseDetail note, boolean isSourceFault) {
    assertEquals(isSourceFault, RetryPolicy.isSourceFault(note));
  }
}
