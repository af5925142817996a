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
class QuietThenFaultTest {
  private static final long QUIET_MILLIS = 10 * 60_000;
  private static final long STEP_MILLIS = 10;
  private static final long PATIENCE_MILLIS = 300 + 2 * 100;
  private static final int ENDPOINTS = 4;

  private final FakeHost host = new FakeHost();
  private long lastRequestId;

  private void runQuietPeriod(long intervalMillis) {
    host.listEndpoints();
    if (intervalMillis < 0) {
      return;
    }
    long step = intervalMillis == 0 ? QUIET_MILLIS : intervalMillis;
    for (long passed = 0; passed < QUIET_MILLIS; passed += step) {
      if (intervalMillis > 0) {
        host.succeed(host.request(++lastRequestId, lastRequestId, 0), 50, ResponseDetail.HIT);
      }
      host.advanceMillis(step);
    }
  }

  /**
   * Delivers a request for an object that no other request is for, and reports a hit at once unless
   * the request went to the endpoint that hangs.
   */
  private SentAttempt requestUnlessHung(int hung) {
    SentAttempt sent = host.request(++lastRequestId, 100_000 + lastRequestId, 0);
    if (sent.endpoint() != hung) {
      host.succeed(sent, 50, ResponseDetail.HIT);
    }
    return sent;
  }

  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void hungEndpointIsEjectedAndItsRequestsAreHedgedElsewhere(long intervalMillis) {
    runQuietPeriod(intervalMillis);
    SentAttempt stalled = host.request(++lastRequestId, 5, 0);
    int hung = stalled.endpoint();
    long since = host.nowNanos;
    List<SentAttempt> waiting = new ArrayList<>();
    while (!host.suspected.contains(hung)) {
      SentAttempt sent = requestUnlessHung(hung);
      if (sent.endpoint() == hung) {
        waiting.add(sent);
      }
      host.advanceMillis(STEP_MILLIS);
      assertTrue(host.nowNanos - since < 1500 * MS, "not ejected");
    }
    assertTrue(host.nowNanos - since >= 600 * MS, "ejected before it had been silent");
    assertEquals(List.of(hung), host.suspected);
    host.advanceMillis(PATIENCE_MILLIS + 100);
    SentAttempt retry = host.lastAttempt(stalled.requestId());
    assertNotEquals(hung, retry.endpoint());
    host.succeed(retry, 50, ResponseDetail.HIT);
    assertTrue(host.cancelled.contains(stalled.requestId() + "/0"));
    assertFalse(waiting.isEmpty());
    for (SentAttempt attempt : waiting) {
      SentAttempt last = host.lastAttempt(attempt.requestId());
      assertNotEquals(hung, last.endpoint());
      host.succeed(last, 50, ResponseDetail.HIT);
    }
    assertTrue(host.failed.isEmpty() && host.rejected.isEmpty());
  }

  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void unreachableEndpointIsEjectedAtOnceAndReadmittedOnceItResponds(long intervalMillis) {
    runQuietPeriod(intervalMillis);
    SentAttempt lostAttempt = host.request(++lastRequestId, 5, 0);
    host.endAttempt(lostAttempt, AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    SentAttempt retry = host.lastAttempt(lostAttempt.requestId());
    assertNotEquals(lostAttempt.endpoint(), retry.endpoint());
    host.succeed(retry, 50, ResponseDetail.HIT);
    int elsewhere = 0;
    SentAttempt sent = host.request(++lastRequestId, 5, 0);
    for (; sent.endpoint() != lostAttempt.endpoint(); sent = host.request(++lastRequestId, 5, 0)) {
      host.succeed(sent, 50, ResponseDetail.HIT).advanceMillis(STEP_MILLIS);
      assertTrue(++elsewhere < 100, "no health check within a second");
    }
    assertTrue(elsewhere > 5);
    host.succeed(sent, 50, ResponseDetail.HIT).advanceMillis(3000);
    assertEquals(List.of(), host.suspected);
    sent = host.request(++lastRequestId, 5, 0);
    assertEquals(lostAttempt.endpoint(), sent.endpoint());
  }

  @ParameterizedTest
  @CsvSource({"-1, DRAINING", "0, DRAINING", "5000, DRAINING", "50000, DRAINING", "5000, GONE"})
  void drainingOrGoneEndpointGetsNoNewAttemptsOrFills(long intervalMillis, EndpointState state) {
    runQuietPeriod(intervalMillis);
    host.changeEndpoint(1, state, 0).changeEndpoint(6, state, 0);
    for (int count = 0; count < 60; count++) {
      SentAttempt sent = requestUnlessHung(-1);
      assertNotEquals(1, sent.endpoint());
      assertEquals(5, sent.source());
    }
  }

  /**
   * The bound is an initial fraction of 0.1, times a weight of 4 and an overload factor of 3, in an
   * overload window of 1 s: 1.2 s of work, which is 12 requests of 0.1 s each. This gateway may
   * send a part of them.
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
  void onlyEdgeCacheOfItsZoneIsHeldToItsSlowStartBudget(long intervalMillis, boolean sized) {
    host.weightIsSize = sized;
    runQuietPeriod(intervalMillis);
    for (int cache = 1; cache < ENDPOINTS; cache++) {
      host.changeEndpoint(cache, EndpointState.GONE, 0);
    }
    host.changeEndpoint(0, EndpointState.UP, host.nowNanos);
    int before = host.sentAttempts.size();
    for (int count = 0; count < 200; count++) {
      host.request(++lastRequestId, 100_000 + lastRequestId, 0);
    }
    int sent = host.sentAttempts.size() - before;
    assertTrue(sent >= 1 && sent <= 12, "sent " + sent);
    assertEquals(200, sent + host.rejected.size());
  }

  /**
   * Among warm peers, an endpoint in slow start receives a small fraction of its keys at first, and
   * most of them halfway through its warm-up of 10 s.
   */
  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void endpointInSlowStartGetsAThinKeySliceThatWidens(long intervalMillis) {
    runQuietPeriod(intervalMillis);
    int usual = countAttemptsAtEndpoint1();
    host.changeEndpoint(1, EndpointState.UP, host.nowNanos);
    int thin = countAttemptsAtEndpoint1();
    host.advanceMillis(5000);
    int wide = countAttemptsAtEndpoint1();
    assertTrue(thin > 0 && thin < usual / 4, "thin " + thin + " of " + usual);
    assertTrue(wide > usual / 2, "wide " + wide + " of " + usual);
  }

  private int countAttemptsAtEndpoint1() {
    int count = 0;
    for (int object = 0; object < 400; object++) {
      SentAttempt sent = host.request(++lastRequestId, object, 0);
      host.succeed(sent, 50, ResponseDetail.HIT).advanceMillis(STEP_MILLIS / 2);
      count += sent.endpoint() == 1 ? 1 : 0;
    }
    return count;
  }

  @ParameterizedTest
  @CsvSource({"-1, 5, 0", "0, 5, 0", "5000, 5, 0", "50000, 0, 9", "5000, 0, -1"})
  void purgeBoundsTheCopyAgeUntilAllCachesHaveDroppedTheirs(
      long intervalMillis, long object, int group) {
    runQuietPeriod(intervalMillis);
    SentAttempt before = host.request(++lastRequestId, 5, 0);
    assertEquals(0, before.maxAgeNanos());
    host.succeed(before, 50, ResponseDetail.HIT);
    host.deliver(to -> to.objectPurged(object, group, 100 * MS)).advanceMillis(400);
    SentAttempt after = host.request(++lastRequestId, 5, 0);
    assertTrue(
        after.maxAgeNanos() > 400 * MS && after.maxAgeNanos() < 500 * MS,
        "age " + after.maxAgeNanos());
    host.succeed(after, 50, ResponseDetail.HIT).advanceMillis(6500);
    assertEquals(0, host.request(++lastRequestId, 5, 0).maxAgeNanos());
  }

  /**
   * The retry budget saves no more tokens in a quiet period than the 40 that it holds at the start.
   */
  @ParameterizedTest
  @CsvSource({"-1", "0", "5000", "50000"})
  void retriesAreLimitedToAShareOfTheRequests(long intervalMillis) {
    runQuietPeriod(intervalMillis);
    int before = host.sentAttempts.size();
    for (int count = 0; count < 400; count++) {
      SentAttempt sent = host.request(++lastRequestId, 100_000 + lastRequestId, 0);
      assertNotNull(sent);
      host.endAttempt(sent, AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
      while (host.lastAttempt(sent.requestId()) != sent) {
        sent = host.lastAttempt(sent.requestId());
        host.endAttempt(sent, AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
      }
    }
    int retries = host.sentAttempts.size() - before - 400;
    assertTrue(retries > 40 && retries <= 40 + 400 / 5, "retries " + retries);
  }
}
