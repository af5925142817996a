package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests requests without faults: which segments the caches admit, and which routes rendezvous
 * hashing selects.
 */
class RequestRouterTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  @ParameterizedTest
  @CsvSource({"2, 3", "4, 7", "8, 15", "16, 31"})
  void partsOfOneSegmentGoToOneEdgeCacheAndSegmentsSpread(int first, int last) {
    int segmentsAtOtherCaches = 0;
    for (long object = 1; object <= 40; object++) {
      int cache = host.requestWithHit(object, first).endpoint();
      assertEquals(cache, host.requestWithHit(object, last).endpoint());
      segmentsAtOtherCaches += host.requestWithHit(object, last + 1).endpoint() != cache ? 1 : 0;
    }
    assertTrue(
        segmentsAtOtherCaches > 20, "next segments at other caches: " + segmentsAtOtherCaches);
  }

  @Test
  void firstSegmentsAreAlwaysCachedAndTheirRankRisesOnTheNextStart() {
    assertEquals(1, host.requestWithHit(5, 0).rank());
    assertEquals(1, host.requestWithHit(5, 3).rank());
    host.advanceMillis(1000);
    assertEquals(2, host.requestWithHit(5, 0).rank());
    assertEquals(2, host.requestWithHit(5, 3).rank());
  }

  @Test
  void laterSegmentsAreCachedContiguouslyAndNotOnAFirstStart() {
    host.requestWithHit(5, 0);
    assertEquals(0, host.requestWithHit(5, 4).rank());
    host.advanceMillis(1000);
    host.requestWithHit(5, 0);
    assertEquals(0, host.requestWithHit(5, 8).rank(), "segment 3 is not in the table yet");
    assertEquals(2, host.requestWithHit(5, 4).rank());
    assertEquals(2, host.requestWithHit(5, 8).rank());
  }

  @Test
  void fullAdmissionTableAdmitsOnlySegmentsOfHigherValue() {
    for (int object = 1; object <= 300; object++) {
      host.requestWithHit(object, 0);
    }
    host.advanceMillis(1000);
    for (int object = 1; object <= 299; object++) {
      host.requestWithHit(object, 0);
      host.requestWithHit(object, 4);
    }
    host.advanceMillis(500);
    host.requestWithHit(300, 0);
    assertEquals(
        0,
        host.requestWithHit(300, 4).rank(),
        "requested no more often than the segments in the table");
    host.advanceMillis(100);
    host.requestWithHit(300, 0);
    assertEquals(
        2,
        host.requestWithHit(300, 4).rank(),
        "requested more often than the segments in the table");
  }

  @Test
  void gatewaysWithTheListInAnotherOrderSelectTheSameRoutes() {
    FakeHost otherHost = new FakeHost().listEndpoints(7, 6, 5, 4, 3, 2, 1, 0).deliverBatch();
    for (long object = 1; object <= 50; object++) {
      SentAttempt attempt = host.request(object, object, 0);
      SentAttempt otherAttempt = otherHost.request(object, object, 0);
      assertEquals(
          List.of(attempt.endpoint(), attempt.source()),
          List.of(otherAttempt.endpoint(), otherAttempt.source()));
      host.succeed(attempt, 50, ResponseDetail.HIT);
      otherHost.succeed(otherAttempt, 50, ResponseDetail.HIT);
    }
  }

  /** Where gateways share a zone, other gateways receive most of the starts of an object. */
  @ParameterizedTest
  @CsvSource({"1, 0", "10, 2"})
  void partOutOfSequenceCountsAsAStartWhereGatewaysShareAZone(int gateways, int expectedRank) {
    FakeHost gatewayHost = new FakeHost();
    gatewayHost.gatewaysInZone = gateways;
    gatewayHost.listEndpoints().request(1, 5, 9);
    gatewayHost.advanceMillis(3000);
    assertEquals(
        expectedRank, gatewayHost.request(2, 5, 9).rank(), "the same part in another playback");
    assertEquals(0, gatewayHost.request(3, 6, 9).rank(), "a part of the first playback");
  }

  @Test
  void requestWithoutAnyEdgeCacheIsRejectedAtOnce() {
    IntStream.range(0, 4).forEach(cache -> host.changeEndpoint(cache, EndpointState.GONE, 0));
    host.request(1, 5, 0);
    assertEquals(List.of(1L), host.rejectedRequests);
  }

  @Test
  void hotSegmentSpillsOverToTheNextCaches() {
    Set<Integer> usedEndpoints = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      usedEndpoints.add(host.request(5, 4).endpoint());
    }
    assertTrue(usedEndpoints.size() > 1);
  }
}
