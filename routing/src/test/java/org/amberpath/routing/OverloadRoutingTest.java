package org.amberpath.routing;

import static org.amberpath.routing.FakeHost.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.api.Test;

/** Concurrency limits of edge caches, fill sources and the origin. */
class OverloadRoutingTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  /** Found on incident i42021b: the origin holds everything, so that cached-only binds nothing. */
  @Test
  void saturatedOriginIsNoFillSourceEvenWithoutParents() {
    host.changeEndpoint(5, EndpointState.GONE, 0).changeEndpoint(6, EndpointState.GONE, 0);
    for (int i = 0; i < 60; i++) {
      host.advanceMillis(250).succeed(host.request(i, 0), 1500, ResponseDetail.FILLED_BY_ORIGIN);
    }
    for (int i = 100; i < 150; i++) {
      host.request(i, 0);
    }
    assertEquals(host.lastAttempt().endpoint(), host.lastAttempt().source());
  }

  /**
   * Found with a slow origin: fills of both parents timed out, and all fills went to the origin.
   */
  @Test
  void parentsStayFillSourcesWhileTheOriginFails() {
    int ended = 0;
    for (int i = 0; i < 40; i++) {
      host.advanceMillis(50).request(i, 0);
      while (ended < host.sentAttempts.size()) {
        host.endAttempt(
            host.sentAttempts.get(ended++),
            AttemptOutcome.FAILED,
            50,
            ResponseDetail.FILL_SOURCE_UNREACHABLE);
      }
    }
    host.advanceMillis(1000);
    assertTrue(host.request(500, 0).source() != 7);
  }

  /** Found under overload and on three incidents: misses queued, and hits waited behind them. */
  @Test
  void lateFillsMakeAttemptsCachedOnlyAndMissesAreRejected() {
    for (int i = 0; i < 60; i++) {
      SentAttempt sent = host.request(i, 0);
      host.advanceMillis(250).succeed(sent, 1500, ResponseDetail.FILLED);
    }
    for (int i = 100; i < 130; i++) {
      host.request(i, 0);
    }
    SentAttempt cachedOnly = host.request(500, 0);
    assertEquals(cachedOnly.endpoint(), cachedOnly.source());
    host.endAttempt(cachedOnly, AttemptOutcome.NOT_CACHED, 1, ResponseDetail.NONE);
    assertEquals(List.of(cachedOnly.requestId()), host.rejected);
  }

  /**
   * Found with a slow origin: requests were rejected though a stale copy would have served them.
   */
  @Test
  void lateOriginAllowsStaleCopiesWithoutRevalidation() {
    host.freshNanos = 5000 * MS;
    host.configure(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, false);
    for (int i = 0; i < 60; i++) {
      SentAttempt sent = host.request(i, 0);
      assertTrue(
          sent.hasOption(AttemptCommand.REVALIDATE) && sent.maxAgeNanos() == host.freshNanos);
      host.advanceMillis(250).succeed(sent, 1500, ResponseDetail.FILLED_BY_ORIGIN);
      host.succeed(host.request(i, 0), 50, ResponseDetail.FILLED);
    }
    for (int i = 100; i < 150; i++) {
      host.request(i, 0);
    }
    SentAttempt cachedOnly = host.lastAttempt();
    assertTrue(
        cachedOnly.hasOption(AttemptCommand.CACHED_ONLY)
            && !cachedOnly.hasOption(AttemptCommand.REVALIDATE));
    assertEquals(2 * host.freshNanos, cachedOnly.maxAgeNanos());
  }

  @Test
  void lateHitsCloseTheEdgeLimitsAndRequestsAreRejected() {
    for (int i = 0; i < 200; i++) {
      SentAttempt sent = host.request(i, 0);
      host.advanceMillis(250).succeed(sent, 1500, ResponseDetail.HIT);
    }
    for (int i = 300; i < 400; i++) {
      host.request(i, 0);
    }
    assertTrue(host.rejected.size() > 50, "rejected " + host.rejected.size());
  }

  /** Found under overload: requests over the limit went straight to a parent and overloaded it. */
  @Test
  void requestsOverTheLimitDoNotBypassTheEdgeCaches() {
    host.bypassAllowed = true;
    lateHitsCloseTheEdgeLimitsAndRequestsAreRejected();
    assertTrue(host.sentAttempts.stream().allMatch(sent -> sent.endpoint() < 4));
  }

  /**
   * Found with one response in a hundred lost: the parents' limits closed, and a sixth of the
   * requests was rejected.
   */
  @Test
  void lostResponsesDoNotCutTheLimitOfAResponsiveSource() {
    for (int i = 0; i < 30; i++) {
      SentAttempt lostAttempt = host.request(1000 + i, 0);
      for (int after = 0; after < 12; after++) {
        host.advanceMillis(150)
            .succeed(host.request(2000 + 100 * i + after, 0), 50, ResponseDetail.FILLED);
      }
      host.endAttempt(lostAttempt, AttemptOutcome.TIMED_OUT, 1800, ResponseDetail.NONE);
    }
    int before = host.sentAttempts.size();
    for (int i = 0; i < 24; i++) {
      host.request(9000 + i, 0);
    }
    assertEquals(
        24,
        host.sentAttempts.stream()
            .skip(before)
            .filter(attempt -> attempt.source() == 5 || attempt.source() == 6)
            .count());
  }
}
