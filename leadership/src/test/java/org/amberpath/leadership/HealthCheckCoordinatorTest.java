package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.amberpath.leadership.HealthCheckCoordinator.HealthCheckOutcome;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.amberpath.leadership.HealthCheckCoordinator.ReportRequest;
import org.junit.jupiter.api.Test;

/** A gateway that requests reports, and a leader that performs the health checks. */
class HealthCheckCoordinatorTest {
  private static final long MS = 1_000_000;
  private static final List<String> OTHERS = List.of("a", "b", "c", "d");

  private static final HealthReport NONE = new HealthReport(false, -1);
  private static final HealthReport RESPONDED_NOW = new HealthReport(true, 0);
  private final HealthCheckCoordinator gateway = new HealthCheckCoordinator();
  private final HealthCheckCoordinator leader = new HealthCheckCoordinator();
  private long now = 1000 * MS;

  private ReportRequest nextRequest() {
    ReportRequest request = gateway.nextReportRequest(now, 5, () -> OTHERS, false);
    for (int ms = 0; request == null && ms < 5000; ms++) {
      now += MS;
      request = gateway.nextReportRequest(now, 5, () -> OTHERS, false);
    }
    return request;
  }

  @Test
  void reportsAreRequestedOnlyForSuspectsFromThreeCandidatesInTurnUntilOneAnswers() {
    assertNull(gateway.nextReportRequest(now, 5, () -> OTHERS, false));
    gateway.healthChanged(now, "x", false);
    assertEquals(
        List.of("a", "b", "c", "a"),
        IntStream.range(0, 4).mapToObj(index -> nextRequest().recipient()).toList());
    assertFalse(gateway.isCentralized(now, false));
    ReportRequest request = nextRequest();
    assertEquals("b", request.recipient());
    gateway.reportReceived(now + MS, "b", 7, request.requestedAtNanos(), Map.of("x", NONE));
    assertTrue(gateway.isCentralized(now + MS, false));
    assertEquals("b", nextRequest().recipient(), "the gateway that answered is asked again");
    now += 10_000 * MS;
    assertFalse(gateway.isCentralized(now, false), "reports are trusted for a while only");
    assertEquals("c", nextRequest().recipient(), "and another candidate is asked");
  }

  @Test
  void leaderChecksForAllAndReportsHowLongAgoEndpointResponded() {
    gateway.healthChanged(now, "x", false);
    ReportRequest request = nextRequest();
    assertEquals(Map.of("x", NONE), leader.reportRequested(now, "a", request.endpoints()));
    assertEquals(List.of("x"), leader.dueHealthChecks(now));
    assertEquals(List.of(), leader.dueHealthChecks(now), "one check of an endpoint at a time");
    leader.healthCheckEnded(now + 30 * MS, "x", HealthCheckOutcome.ANSWERED);
    now += 100 * MS;
    Map<String, HealthReport> reports = leader.reportRequested(now, "a", request.endpoints());
    assertEquals(Map.of("x", new HealthReport(true, 70 * MS)), reports);
    ReportRequest next = nextRequest();
    assertEquals(
        Map.of("x", new HealthReport(true, 75 * MS)),
        gateway.reportReceived(
            next.requestedAtNanos() + 5 * MS,
            next.recipient(),
            3,
            next.requestedAtNanos(),
            reports),
        "the report may have travelled for the complete round trip");
    gateway.healthChanged(now, "x", true);
    assertEquals(
        Map.of(),
        gateway.reportReceived(now, next.recipient(), 3, next.requestedAtNanos(), reports));
  }

  @Test
  void silentEndpointIsCheckedWithGrowingPausesWhileReportsAreRequested() {
    int checks = 0;
    for (int ms = 0; ms < 20_000; ms += 10, now += 10 * MS) {
      if (ms % 500 == 0) {
        leader.reportRequested(now, "a", List.of("x"));
      }
      for (String endpoint : leader.dueHealthChecks(now)) {
        checks++;
        leader.healthCheckEnded(now, endpoint, HealthCheckOutcome.SILENT);
      }
    }
    assertTrue(checks >= 5 && checks <= 10, checks + " in 20 s");
    now += 5000 * MS;
    assertEquals(List.of(), leader.dueHealthChecks(now));
  }

  @Test
  void leaderOfLargeFleetChecksMoreOften() {
    leader.nextReportRequest(now, 220, List::of, true);
    int checks = 0;
    for (int ms = 0; ms < 20_000; ms += 10, now += 10 * MS) {
      leader.reportRequested(now, "a", List.of("x"));
      for (String endpoint : leader.dueHealthChecks(now)) {
        checks++;
        leader.healthCheckEnded(now, endpoint, HealthCheckOutcome.SILENT);
      }
    }
    assertTrue(checks >= 20 && checks <= 25, checks + " in 20 s");
  }

  @Test
  void reportOfOlderTermOrToOlderRequestIsIgnored() {
    gateway.healthChanged(now, "x", false);
    ReportRequest first = nextRequest();
    assertEquals(
        1,
        gateway
            .reportReceived(now, "a", 9, first.requestedAtNanos(), Map.of("x", RESPONDED_NOW))
            .size());
    ReportRequest second = nextRequest();
    assertNull(
        gateway.reportReceived(now, "b", 8, second.requestedAtNanos(), Map.of("x", RESPONDED_NOW)));
    assertEquals(9, gateway.highestTerm());
    assertNull(
        gateway.reportReceived(now, "b", 9, second.requestedAtNanos(), Map.of("x", RESPONDED_NOW)),
        "a term has one leader");
    assertEquals(
        Map.of(),
        gateway.reportReceived(now, "a", 9, first.requestedAtNanos(), Map.of("x", RESPONDED_NOW)));
    assertEquals(
        Map.of(),
        gateway.reportReceived(now, "a", 9, second.requestedAtNanos(), Map.of("y", RESPONDED_NOW)),
        "this gateway does not suspect the endpoint");
  }

  @Test
  void requestRateAtLeaderIsIndependentOfFleetSize() {
    List<String> others = IntStream.range(0, 1000).mapToObj(index -> "g" + index).toList();
    gateway.healthChanged(now, "x", false);
    int requests = 0;
    for (int ms = 0; ms < 60_000; ms += 10, now += 10 * MS) {
      ReportRequest request = gateway.nextReportRequest(now, 1001, () -> others, false);
      if (request != null) {
        requests++;
        gateway.reportReceived(
            now, request.recipient(), 1, request.requestedAtNanos(), Map.of("x", NONE));
      }
    }
    assertTrue(requests <= 13, requests + " a minute, of a thousand each");
    IntStream.range(0, 500)
        .forEach(
            index -> {
              gateway.healthChanged(now, "cache-" + index, false);
              leader.reportRequested(now, "a", List.of("cache-" + index));
            });
    assertEquals(
        HealthCheckCoordinator.MAX_ENDPOINTS_PER_MESSAGE, nextRequest().endpoints().size());
    assertEquals(8, leader.dueHealthChecks(now).size());
  }

  private void runSilentCheck(String... requesters) {
    now += 5000 * MS;
    for (String requester : requesters) {
      leader.reportRequested(now, requester, List.of("x"));
    }
    leader
        .dueHealthChecks(now)
        .forEach(
            endpoint ->
                leader.healthCheckEnded(now + 400 * MS, endpoint, HealthCheckOutcome.SILENT));
    now += 400 * MS;
  }

  @Test
  void silenceIsBroadcastAfterTwoRequestersAndTwoSilentChecks() {
    runSilentCheck("a", "b");
    assertEquals(Map.of(), leader.broadcastReport(now), "after one silent check");
    leader
        .dueHealthChecks(now)
        .forEach(
            endpoint ->
                leader.healthCheckEnded(now + 400 * MS, endpoint, HealthCheckOutcome.SILENT));
    now += 400 * MS;
    Map<String, HealthReport> silent = leader.broadcastReport(now);
    assertEquals(
        Map.of("x", new HealthReport(false, 400 * MS)), silent, "from when the check was sent");
    List<String> others = IntStream.range(0, 25).mapToObj(index -> "g" + index).toList();
    assertEquals(
        List.of(20, 5, 0),
        IntStream.range(0, 3)
            .mapToObj(tick -> leader.broadcastRecipients(now, others).size())
            .toList());

    assertEquals(silent, gateway.reportReceived(now, "o", 1, 0, silent));
    assertTrue(gateway.isCentralized(now, false));
    gateway.healthChanged(now, "x", false);
    assertEquals(silent, gateway.reportReceived(now, "o", 1, 0, silent));
    assertEquals(
        Map.of("x", new HealthReport(true, 1000 * MS)),
        gateway.reportReceived(now, "o", 1, 0, Map.of("x", RESPONDED_NOW)),
        "an unsolicited report may have travelled for 1 s");
  }

  @Test
  void silenceForOneRequesterIsNotBroadcast() {
    for (int round = 0; round < 6; round++, now += 1000 * MS) {
      leader.reportRequested(now, "a", List.of("x"));
      leader
          .dueHealthChecks(now)
          .forEach(endpoint -> leader.healthCheckEnded(now, endpoint, HealthCheckOutcome.SILENT));
    }
    assertEquals(Map.of(), leader.broadcastReport(now));
  }

  @Test
  void endpointThatOnlyTheLeaderCannotReachIsReportedResponsive() {
    runSilentCheck("a", "b");
    leader
        .dueHealthChecks(now)
        .forEach(endpoint -> leader.healthCheckEnded(now, endpoint, HealthCheckOutcome.SILENT));
    Map<String, HealthReport> silent = leader.broadcastReport(now);
    assertFalse(silent.get("x").responded());
    assertEquals("", gateway.endpointResponded(now, "x"), "it was not reported silent");
    gateway.reportReceived(now, "o", 1, 0, silent);
    assertEquals("o", gateway.endpointResponded(now, "x"));
    assertEquals("", gateway.endpointResponded(now, "x"), "once");
    leader.endpointsResponsive(now, List.of("x"));
    assertTrue(leader.broadcastReport(now).get("x").responded());
    for (int round = 0; round < 6; round++, now += 1000 * MS) {
      leader.reportRequested(now, "b", List.of("x"));
      leader
          .dueHealthChecks(now)
          .forEach(endpoint -> leader.healthCheckEnded(now, endpoint, HealthCheckOutcome.SILENT));
    }
    assertTrue(
        leader.broadcastReport(now).get("x").responded(),
        "for 30 s the other gateway's response overrides the leader's checks");
    gateway.reportReceived(now, "o", 1, 0, leader.broadcastReport(now));
    assertEquals("", gateway.endpointResponded(now, "x"), "the leader knows already");
  }

  @Test
  void checkInFlightDoesNotChangeTheAgeOfTheLastResult() {
    runSilentCheck("a", "b");
    leader
        .dueHealthChecks(now)
        .forEach(
            endpoint ->
                leader.healthCheckEnded(now + 400 * MS, endpoint, HealthCheckOutcome.SILENT));
    now += 1000 * MS;
    leader.reportRequested(now, "a", List.of("x"));
    assertEquals(List.of("x"), leader.dueHealthChecks(now));
    assertEquals(
        new HealthReport(false, 1100 * MS),
        leader.broadcastReport(now + 100 * MS).get("x"),
        "responses since then are not contradicted");
  }

  @Test
  void silentEndpointsBeyondOneMessageAreBroadcastInTurn() {
    List<String> endpoints = IntStream.range(0, 25).mapToObj(index -> "c" + index).toList();
    for (int round = 0; round < 200; round++, now += 50 * MS) {
      for (int at = 0;
          at < endpoints.size();
          at += HealthCheckCoordinator.MAX_ENDPOINTS_PER_MESSAGE) {
        List<String> named =
            endpoints.subList(
                at,
                Math.min(endpoints.size(), at + HealthCheckCoordinator.MAX_ENDPOINTS_PER_MESSAGE));
        leader.reportRequested(now, "a", named);
        leader.reportRequested(now, "b", named);
      }
      leader
          .dueHealthChecks(now)
          .forEach(endpoint -> leader.healthCheckEnded(now, endpoint, HealthCheckOutcome.SILENT));
    }
    Set<String> reported = new TreeSet<>();
    for (int round = 0; round < 100; round++, now += 500 * MS) {
      endpoints.forEach(endpoint -> leader.reportRequested(now, "a", List.of(endpoint)));
      leader.broadcastRecipients(now, List.of("a"));
      reported.addAll(leader.broadcastReport(now).keySet());
    }
    assertEquals(25, reported.size());
  }
}
