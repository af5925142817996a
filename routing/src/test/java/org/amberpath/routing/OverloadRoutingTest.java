package org.amberpath.routing;

import static org.amberpath.routing.FakeHost.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.api.Test;

/** Tests the concurrency limits of edge caches, fill sources and the origin. */
class OverloadRoutingTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  /**
   * Guards a saturated origin against fills while no parent is up. Found on incident i42021b: the
   * origin has every object, so sending it attempts as cached-only did not limit its load.
   */
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
   * Guards against sending all fills straight to the origin. Found with a slow origin: fills
   * through both parents timed out, and then all fills went to the origin.
   */
  @Test
  void parentsStayFillSourcesWhileTheOriginFails() {
    int endedCount = 0;
    for (int i = 0; i < 40; i++) {
      host.advanceMillis(50).request(i, 0);
      while (endedCount < host.sentAttempts.size()) {
        host.endAttempt(
            host.sentAttempts.get(endedCount++),
            AttemptOutcome.FAILED,
            50,
            ResponseDetail.FILL_SOURCE_UNREACHABLE);
      }
    }
    host.advanceMillis(1000);
    assertTrue(host.request(500, 0).source() != 7);
  }

  /**
   * Guards against hits that wait behind queued misses; found under overload and on three
   * incidents.
   */
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
    assertEquals(List.of(cachedOnly.requestId()), host.rejectedRequests);
  }

  /** Guards against rejecting requests that a stale copy can serve; found with a slow origin. */
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
  void lateHitsLowerTheEdgeLimitsAndRequestsAreRejected() {
    for (int i = 0; i < 200; i++) {
      SentAttempt sent = host.request(i, 0);
      host.advanceMillis(250).succeed(sent, 1500, ResponseDetail.HIT);
    }
    for (int i = 300; i < 400; i++) {
      host.request(i, 0);
    }
    assertTrue(host.rejectedRequests.size() > 50, "rejected " + host.rejectedRequests.size());
  }

  /**
   * Guards against overload of a parent. Found under overload: requests over the limits of the edge
   * caches were sent straight to a parent.
   */
  @Test
  void requestsOverTheLimitDoNotBypassTheEdgeCaches() {
    host.bypassAllowed = true;
    lateHitsLowerTheEdgeLimitsAndRequestsAreRejected();
    assertTrue(host.sentAttempts.stream().allMatch(sent -> sent.endpoint() < 4));
  }

  /**
   * Guards against lost responses that lower a limit. Found when one response in a hundred was
   * lost: the parents' limits fell until they had no room, and a sixth of the requests was
   * rejected.
   */
  @Test
  void lostResponsesDoNotLowerTheLimitOfAResponsiveSource() {
    for (int round = 0; round < 30; round++) {
      SentAttempt lostAttempt = host.request(1000 + round, 0);
      for (int request = 0; request < 12; request++) {
        host.advanceMillis(150)
            .succeed(host.request(2000 + 100 * round + request, 0), 50, ResponseDetail.FILLED);
      }
      host.endAttempt(lostAttempt, AttemptOutcome.TIMED_OUT, 1800, ResponseDetail.NONE);
    }
    int sentBefore = host.sentAttempts.size();
    for (int round = 0; round < 24; round++) {
      host.request(9000 + round, 0);
    }
    assertEquals(
        24,
        host.sentAttempts.stream()
            .skip(sentBefore)
            .filter(attempt -> attempt.source() == 5 || attempt.source() == 6)
            .count());
  }
}
