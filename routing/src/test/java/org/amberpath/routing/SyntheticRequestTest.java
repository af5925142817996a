package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.api.Test;

/**
 * Tests the synthetic requests of the gateway: health checks of endpoints and prefetches into
 * endpoints in slow start.
 */
class SyntheticRequestTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  @Test
  void syntheticHealthChecksAreSentOneAtATimeUncachedAndNeverRetried() {
    int ejectedCache = host.ejectOneEndpoint();
    assertNull(host.syntheticRequest(6, 0, ejectedCache), "not before the backoff is over");
    host.advanceMillis(500);
    SentAttempt healthCheck = host.syntheticRequest(6, 0, ejectedCache);
    assertEquals(List.of(ejectedCache, 0), List.of(healthCheck.endpoint(), healthCheck.rank()));
    assertNull(host.syntheticRequest(6, 0, ejectedCache), "one health check at a time");
    host.endAttempt(healthCheck, AttemptOutcome.CONNECTION_LOST, 1, ResponseDetail.NONE);
    assertEquals(healthCheck, host.lastAttempt(healthCheck.requestId()), "never retried");
    host.advanceMillis(5000);
    host.succeed(host.syntheticRequest(6, 0, ejectedCache), 50, ResponseDetail.HIT);
    assertEquals(List.of(), host.suspectEndpoints);
  }

  @Test
  void prefetchesUseABoundedPartOfTheSlowStartBudget() {
    host.deliver(to -> to.gatewayShareChanged(200, 1 / 200.0));
    host.changeEndpoint(1, EndpointState.UP, host.nowNanos);
    assertEquals(List.of(1), host.warmUpReports);
    int sent = 0;
    int notPrefetched = 0;
    for (int ms = 0; ms < 1000; ms += 5) {
      SentAttempt prefetch =
          host.syntheticRequest(1 + (ms / 5 + 1) % 97, 0, RoutingEventHandler.NO_ENDPOINT);
      notPrefetched += prefetch == null ? 1 : 0;
      if (prefetch != null) {
        sent++;
        assertEquals(List.of(1, 1), List.of(prefetch.endpoint(), prefetch.rank()));
        host.succeed(prefetch, 50, ResponseDetail.FILLED);
      }
      host.advanceMillis(5);
    }
    // A weight of 4 at 0.1 s per request is 40 requests per second. Prefetches get a quarter of 3
    // times (the overload factor) the current fraction of it, which rises from 0.1 to 0.19 in this
    // second, in addition to clients' requests; the bound uses a fraction of 0.3.
    assertTrue(sent >= 3 && sent <= 40 * 3 * 0.25 * 0.3, sent + " prefetches in a second");
    assertTrue(notPrefetched > 100, "keys of other caches are not prefetched: " + notPrefetched);
    for (int object = 1; object < 97; object++) {
      assertNull(
          host.advanceMillis(20).syntheticRequest(object, 9, RoutingEventHandler.NO_ENDPOINT),
          "a later segment is not prefetched");
    }
    assertNotNull(
        IntStream.range(1, 97)
            .mapToObj(
                object ->
                    host.advanceMillis(10)
                        .syntheticRequest(object, 3, RoutingEventHandler.NO_ENDPOINT))
            .filter(Objects::nonNull)
            .findFirst()
            .orElse(null),
        "no first segment was prefetched");
  }

  @Test
  void syntheticRequestsOfNonIdempotentClassesAreNeverSent() {
    host.configure(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false);
    host.changeEndpoint(1, EndpointState.UP, host.nowNanos);
    for (int object = 0; object < 50; object++) {
      assertNull(
          host.syntheticRequest(object, 0, object % 2 == 0 ? RoutingEventHandler.NO_ENDPOINT : 0));
    }
  }
}
