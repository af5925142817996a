package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.api.Test;

/** Tests endpoints that are unreachable, hang or lose responses. */
class OutlierEjectionTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  @Test
  void unreachableEndpointIsEjectedThenCheckedAndReadmitted() {
    SentAttempt sent = host.request(1, 5, 0);
    host.endAttempt(sent, AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    SentAttempt retry = host.lastAttempt(1);
    assertNotEquals(sent.endpoint(), retry.endpoint());
    host.succeed(retry, 50, ResponseDetail.HIT);
    assertEquals(
        retry.endpoint(),
        host.requestWithHit(5, 0).endpoint(),
        "the ejected endpoint gets no request");
    host.advanceMillis(400);
    assertEquals(
        sent.endpoint(), host.requestWithHit(5, 0).endpoint(), "one request as a health check");
    assertEquals(
        retry.endpoint(),
        host.requestWithHit(5, 0).endpoint(),
        "on probation it gets few keys at first");
    host.advanceMillis(3000);
    assertEquals(
        sent.endpoint(),
        host.requestWithHit(5, 0).endpoint(),
        "readmitted although few requests were sent");
  }

  /**
   * Guards against ejecting an endpoint for single lost responses. Found on incident ie243ac:
   * single responses were cut off at all caches, and each time a cache was ejected.
   */
  @Test
  void endpointThatLosesSingleResponsesButReturnsOthersIsNotEjected() {
    SentAttempt sent = host.request(5, 0);
    for (int i = 0; i < 20; i++) {
      host.endAttempt(host.request(5, 0), AttemptOutcome.CONNECTION_LOST, 50, ResponseDetail.NONE);
      host.succeed(host.lastAttempt(), 50, ResponseDetail.HIT).advanceMillis(100);
      assertEquals(sent.endpoint(), host.requestWithHit(5, 0).endpoint());
    }
  }

  @Test
  void hungEndpointIsEjectedAndItsRequestsAreHedgedElsewhere() {
    SentAttempt firstHungAttempt = host.request(5, 0);
    for (int i = 0; i < 150; i++) {
      SentAttempt sent = host.request(2000 + i, 0);
      if (sent.endpoint() != firstHungAttempt.endpoint()) {
        host.succeed(sent, 50, ResponseDetail.HIT);
      }
      host.advanceMillis(10);
    }
    SentAttempt hedge = host.lastAttempt(firstHungAttempt.requestId());
    assertNotEquals(firstHungAttempt.endpoint(), hedge.endpoint());
    host.succeed(hedge, 50, ResponseDetail.HIT);
    assertTrue(host.cancelledAttempts.contains(firstHungAttempt.requestId() + "/0"));
  }

  /** Guards the only edge cache that responds against receiving all keys of the others. */
  @Test
  void noEndpointIsEjectedWhileMostPeersAreUnresponsive() {
    for (int i = 0; i < 60; i++) {
      SentAttempt sent = host.advanceMillis(25).request(i, 0);
      if (sent.endpoint() == 3) {
        host.succeed(sent, 50, ResponseDetail.HIT);
      }
    }
    long attemptsAtResponsive =
        host.sentAttempts.stream()
            .skip(host.sentAttempts.size() - 15)
            .filter(sent -> sent.endpoint() == 3)
            .count();
    assertTrue(
        attemptsAtResponsive <= 13, "attempts at the responsive endpoint: " + attemptsAtResponsive);
  }
}
