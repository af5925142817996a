package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how many requests a recently started endpoint is sent. */
class EndpointSlowStartTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  @ParameterizedTest
  @ValueSource(ints = {1, 5})
  void endpointInSlowStartReceivesAGrowingFractionOfItsKeys(int endpoint) {
    int whenWarm = countAttemptsThrough(endpoint, 0);
    host.changeEndpoint(endpoint, EndpointState.UP, host.nowNanos);
    int afterStart = countAttemptsThrough(endpoint, 0);
    host.advanceMillis(5000);
    int halfway = countAttemptsThrough(endpoint, 0);
    assertTrue(
        afterStart > 0 && afterStart < whenWarm / 4,
        "after the start " + afterStart + ", when warm " + whenWarm);
    assertTrue(
        halfway > whenWarm / 2 && halfway < whenWarm,
        "halfway " + halfway + ", when warm " + whenWarm);
  }

  /**
   * Returns how many of 400 requests, each for another object, use the endpoint as target or as
   * fill source.
   */
  private int countAttemptsThrough(int endpoint, long firstObject) {
    int count = 0;
    for (long object = firstObject; object < firstObject + 400; object++) {
      SentAttempt sent = host.requestWithHit(object, 0);
      count += sent.endpoint() == endpoint || sent.source() == endpoint ? 1 : 0;
      host.advanceMillis(5);
    }
    return count;
  }

  @Test
  void onlyEdgeCacheOfItsZoneStaysWithinItsSlowStartBudget() {
    for (int cache = 1; cache < 4; cache++) {
      host.changeEndpoint(cache, EndpointState.GONE, 0);
    }
    host.changeEndpoint(0, EndpointState.UP, host.nowNanos);
    for (long id = 1; id <= 200; id++) {
      host.request(id, id, 0);
    }
    // An initial fraction of 0.1, times a weight of 4 and an overload factor of 3, in an overload
    // window of 1 s: 1.2 s of work, which is 12 requests of 0.1 s each. This gateway may send a
    // part of them.
    assertTrue(
        host.sentAttempts.size() >= 2 && host.sentAttempts.size() <= 12,
        "sent " + host.sentAttempts.size());
    assertEquals(200, host.sentAttempts.size() + host.rejectedRequests.size());
  }

  /**
   * Guards against a budget that follows the load on overloaded peers, which are sent more than
   * they return; found by a search for failure scenarios.
   */
  @Test
  void slowStartBudgetFollowsWhatPeersReturnNotWhatTheyAreSent() {
    host.weightIsSize = false;
    host.configure(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false);
    for (int i = 0; i < 300; i++) {
      host.endAttempt(host.request(i, 0), AttemptOutcome.FAILED, 1, ResponseDetail.NONE)
          .advanceMillis(10);
    }
    host.changeEndpoint(0, EndpointState.UP, host.nowNanos);
    int sentBefore = host.sentAttempts.size();
    for (int i = 1000; i < 3000; i++) {
      host.endAttempt(host.request(i, 0), AttemptOutcome.FAILED, 1, ResponseDetail.NONE);
    }
    long attemptsAtEndpoint0 =
        host.sentAttempts.stream().skip(sentBefore).filter(sent -> sent.endpoint() == 0).count();
    assertTrue(attemptsAtEndpoint0 >= 1 && attemptsAtEndpoint0 <= 2, "sent " + attemptsAtEndpoint0);
  }

  /**
   * Guards small caches that restarted together against the budget of large ones; found by a search
   * for failure scenarios.
   */
  @Test
  void slowStartBudgetFollowsWhatPeersOfTheSameKindReturn() {
    int[] sentByKind = new int[2];
    for (int kind = 0; kind < 2; kind++) {
      FakeHost gatewayHost = new FakeHost();
      gatewayHost.weightIsSize = false;
      gatewayHost.kindOfEndpoint0 = kind == 0 ? "box" : "small";
      gatewayHost.listEndpoints(1, 2, 3, 5, 6, 7).deliverBatch();
      for (int i = 0; i < 400; i++) {
        gatewayHost.advanceMillis(10).succeed(gatewayHost.request(i, i, 0), 50, ResponseDetail.HIT);
      }
      gatewayHost.changeEndpoint(0, EndpointState.UP, gatewayHost.nowNanos);
      for (int i = 1000; i < 1400; i++) {
        SentAttempt attempt = gatewayHost.request(i, i, 0);
        sentByKind[kind] += attempt != null && attempt.endpoint() == 0 ? 1 : 0;
      }
    }
    assertTrue(
        sentByKind[0] > sentByKind[1] && sentByKind[1] > 0,
        "sent one of the peers' kind " + sentByKind[0] + ", one of another kind " + sentByKind[1]);
  }

  /**
   * Guards a parent in slow start against fills beyond its budget. Found by a search for failure
   * scenarios: caches and parents restarted together, and nearly every request was a fill.
   */
  @Test
  void parentInSlowStartIsChargedInFullForRequestsAtCachesInSlowStart() {
    for (int i = 0; i < 200; i++) {
      host.succeed(host.request(i, 0), 50, ResponseDetail.HIT).advanceMillis(10);
    }
    IntStream.range(0, 4)
        .forEach(cache -> host.changeEndpoint(cache, EndpointState.UP, host.nowNanos));
    host.changeEndpoint(5, EndpointState.UP, host.nowNanos)
        .changeEndpoint(6, EndpointState.GONE, 0);
    int sentBefore = host.sentAttempts.size();
    for (int i = 1000; i < 1300; i++) {
      SentAttempt sent = host.request(i, 0);
      if (sent != null) {
        host.succeed(sent, 50, ResponseDetail.HIT);
      }
    }
    long attemptsThroughParent =
        host.sentAttempts.stream().skip(sentBefore).filter(sent -> sent.source() == 5).count();
    // An initial fraction of 0.1, times a weight of 4 and an overload factor of 2, in an overload
    // window of 1 s: 0.8 s of work, which is 8 requests of 0.1 s each. This gateway's share is less
    // than a third of them.
    assertTrue(attemptsThroughParent <= 2, "attempts through the parent: " + attemptsThroughParent);
  }
}
