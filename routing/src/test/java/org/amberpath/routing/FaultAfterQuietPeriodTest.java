package org.amberpath.routing;

import static org.amberpath.routing.FakeHost.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that a fault after ten quiet minutes is handled as it is right after the start. In each
 * test the first argument is the interval between the requests of the quiet period, in
 * milliseconds: 5,000 or 50,000; 0 for a quiet period without requests; -1 for no quiet period.
 */
@SuppressWarnings("ReferenceEquality") // Compares the recorded attempts by identity.
class FaultAfterQuietPeriodTest {
  private static final long QUIET_PERIOD_MILLIS = 10 * 60_000;
  private static final long STEP_MILLIS = 10;
  private static final long SOFT_TIMEOUT_MILLIS = 300 + 2 * 100;
  private static final int ZONE_EDGE_COUNT = 4;

  private final FakeHost host = new FakeHost();
  private long lastRequestId;

  private void runQuietPeriod(long requestIntervalMillis) {
    host.listEndpoints();
    if (requestIntervalMillis < 0) {
      return;
    }
    long stepMillis = requestIntervalMillis == 0 ? QUIET_PERIOD_MILLIS : requestIntervalMillis;
    for (long elapsedMillis = 0; elapsedMillis < QUIET_PERIOD_MILLIS; elapsedMillis += stepMillis) {
      if (requestIntervalMillis > 0) {
        host.succeed(host.request(++lastRequestId, lastRequestId, 0), 50, ResponseDetail.HIT);
      }
      host.advanceMillis(stepMillis);
    }
  }

  /**
   * Delivers a request for an object that no other request is for, and reports a hit at once unless
   * the request went to the endpoint that hangs.
   */
  private SentAttempt requestAndServeUnlessHung(int hungEndpoint) {
    SentAttempt sent = host.request(++lastRequestId, 100_000 + lastRequestId, 0);
    if (sent.endpoint() != hungEndpoint) {
      host.succeed(sent, 50, ResponseDetail.HIT);
    }
    return sent;
  }

  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void hungEndpointIsEjectedAndItsRequestsAreHedgedElsewhere(long requestIntervalMillis) {
    runQuietPeriod(requestIntervalMillis);
    SentAttempt firstHungAttempt = host.request(++lastRequestId, 5, 0);
    int hungEndpoint = firstHungAttempt.endpoint();
    long hungSinceNanos = host.nowNanos;
    List<SentAttempt> hungAttempts = new ArrayList<>();
    while (!host.suspectEndpoints.contains(hungEndpoint)) {
      SentAttempt sent = requestAndServeUnlessHung(hungEndpoint);
      if (sent.endpoint() == hungEndpoint) {
        hungAttempts.add(sent);
      }
      host.advanceMillis(STEP_MILLIS);
      assertTrue(host.nowNanos - hungSinceNanos < 1500 * MS, "not ejected within 1.5 s");
    }
    assertTrue(
        host.nowNanos - hungSinceNanos >= 600 * MS,
        "ejected before 600 ms had passed without a response");
    assertEquals(List.of(hungEndpoint), host.suspectEndpoints);
    host.advanceMillis(SOFT_TIMEOUT_MILLIS + 100);
    SentAttempt hedge = host.lastAttempt(firstHungAttempt.requestId());
    assertNotEquals(hungEndpoint, hedge.endpoint());
    host.succeed(hedge, 50, ResponseDetail.HIT);
    assertTrue(host.cancelledAttempts.contains(firstHungAttempt.requestId() + "/0"));
    assertFalse(hungAttempts.isEmpty());
    for (SentAttempt attempt : hungAttempts) {
      SentAttempt last = host.lastAttempt(attempt.requestId());
      assertNotEquals(hungEndpoint, last.endpoint());
      host.succeed(last, 50, ResponseDetail.HIT);
    }
    assertTrue(host.failedRequests.isEmpty() && host.rejectedRequests.isEmpty());
  }

  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void unreachableEndpointIsEjectedAtOnceAndReadmittedOnceItResponds(long requestIntervalMillis) {
    runQuietPeriod(requestIntervalMillis);
    SentAttempt failedAttempt = host.request(++lastRequestId, 5, 0);
    host.endAttempt(failedAttempt, AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    SentAttempt retry = host.lastAttempt(failedAttempt.requestId());
    assertNotEquals(failedAttempt.endpoint(), retry.endpoint());
    host.succeed(retry, 50, ResponseDetail.HIT);
    int requestsToOthers = 0;
    SentAttempt sent = host.request(++lastRequestId, 5, 0);
    for (;
        sent.endpoint() != failedAttempt.endpoint();
        sent = host.request(++lastRequestId, 5, 0)) {
      host.succeed(sent, 50, ResponseDetail.HIT).advanceMillis(STEP_MILLIS);
      assertTrue(++requestsToOthers < 100, "no health check within a second");
    }
    assertTrue(requestsToOthers > 5);
    host.succeed(sent, 50, ResponseDetail.HIT).advanceMillis(3000);
    assertEquals(List.of(), host.suspectEndpoints);
    sent = host.request(++lastRequestId, 5, 0);
    assertEquals(failedAttempt.endpoint(), sent.endpoint());
  }

  @ParameterizedTest
  @CsvSource({"-1, DRAINING", "0, DRAINING", "5000, DRAINING", "50000, DRAINING", "5000, GONE"})
  void drainingOrGoneEndpointGetsNoNewAttemptsOrFills(
      long requestIntervalMillis, EndpointState state) {
    runQuietPeriod(requestIntervalMillis);
    host.changeEndpoint(1, state, 0).changeEndpoint(6, state, 0);
    for (int index = 0; index < 60; index++) {
      SentAttempt sent = requestAndServeUnlessHung(-1);
      assertNotEquals(1, sent.endpoint());
      assertEquals(5, sent.source());
    }
  }

  /**
   * The bound where weights are sizes: an initial fraction of 0.1, times a weight of 4 and an
   * overload factor of 3, in an overload window of 1 s, is 1.2 s of work, which is 12 requests of
   * 0.1 s each. This gateway may send a part of them.
   */
  @ParameterizedTest
  @CsvSource({
    "-1, true",
    "0, true",
    "5000, true",
    "50000, true",
    "-1, false",
    "0, false",
    "5000, false"
  })
  void onlyEdgeCacheOfItsZoneStaysWithinItsSlowStartBudget(
      long requestIntervalMillis, boolean weightIsSize) {
    host.weightIsSize = weightIsSize;
    runQuietPeriod(requestIntervalMillis);
    for (int cache = 1; cache < ZONE_EDGE_COUNT; cache++) {
      host.changeEndpoint(cache, EndpointState.GONE, 0);
    }
    host.changeEndpoint(0, EndpointState.UP, host.nowNanos);
    int sentBefore = host.sentAttempts.size();
    for (int index = 0; index < 200; index++) {
      host.request(++lastRequestId, 100_000 + lastRequestId, 0);
    }
    int sent = host.sentAttempts.size() - sentBefore;
    assertTrue(sent >= 1 && sent <= 12, "sent " + sent);
    assertEquals(200, sent + host.rejectedRequests.size());
  }

  /**
   * Among warm peers, an endpoint in slow start receives a small fraction of its keys at first, and
   * most of them halfway through its warm-up of 10 s.
   */
  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void endpointInSlowStartReceivesAGrowingFractionOfItsKeys(long requestIntervalMillis) {
    runQuietPeriod(requestIntervalMillis);
    int whenWarm = countAttemptsAtEndpoint1();
    host.changeEndpoint(1, EndpointState.UP, host.nowNanos);
    int afterStart = countAttemptsAtEndpoint1();
    host.advanceMillis(5000);
    int halfway = countAttemptsAtEndpoint1();
    assertTrue(
        afterStart > 0 && afterStart < whenWarm / 4,
        "after the start " + afterStart + ", when warm " + whenWarm);
    assertTrue(halfway > whenWarm / 2, "halfway " + halfway + ", when warm " + whenWarm);
  }

  /** Returns how many of 400 requests, each for another object, are sent to endpoint 1. */
  private int countAttemptsAtEndpoint1() {
    int index = 0;
    for (int object = 0; object < 400; object++) {
      SentAttempt sent = host.request(++lastRequestId, object, 0);
      host.succeed(sent, 50, ResponseDetail.HIT).advanceMillis(STEP_MILLIS / 2);
      index += sent.endpoint() == 1 ? 1 : 0;
    }
    return index;
  }

  @ParameterizedTest
  @CsvSource({"-1, 5, 0", "0, 5, 0", "5000, 5, 0", "50000, 0, 9", "5000, 0, -1"})
  void purgeBoundsTheCopyAgeUntilAllCachesHaveDroppedTheirs(
      long requestIntervalMillis, long object, int group) {
    runQuietPeriod(requestIntervalMillis);
    SentAttempt before = host.request(++lastRequestId, 5, 0);
    assertEquals(0, before.maxAgeNanos());
    host.succeed(before, 50, ResponseDetail.HIT);
    host.deliver(to -> to.objectPurged(object, group, 100 * MS)).advanceMillis(400);
    SentAttempt after = host.request(++lastRequestId, 5, 0);
    assertTrue(
        after.maxAgeNanos() > 400 * MS && after.maxAgeNanos() < 500 * MS,
        "maximum copy age " + after.maxAgeNanos());
    host.succeed(after, 50, ResponseDetail.HIT).advanceMillis(6500);
    assertEquals(0, host.request(++lastRequestId, 5, 0).maxAgeNanos());
  }

  /**
   * The retry budget saves no more tokens in a quiet period than the 40 that it holds at the start.
   */
  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void retriesAreLimitedToAFractionOfTheRequests(long requestIntervalMillis) {
    runQuietPeriod(requestIntervalMillis);
    int sentBefore = host.sentAttempts.size();
    for (int index = 0; index < 400; index++) {
      SentAttempt sent = host.request(++lastRequestId, 100_000 + lastRequestId, 0);
      assertNotNull(sent);
      host.endAttempt(sent, AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
      while (host.lastAttempt(sent.requestId()) != sent) {
        sent = host.lastAttempt(sent.requestId());
        host.endAttempt(sent, AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
      }
    }
    int retries = host.sentAttempts.size() - sentBefore - 400;
    assertTrue(retries > 40 && retries <= 40 + 400 / 5, "retries " + retries);
  }
}
