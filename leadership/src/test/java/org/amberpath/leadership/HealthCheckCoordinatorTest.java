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
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.junit.jupiter.api.Test;

/** A gateway that asks, and an owner that is asked. */
class HealthCheckCoordinatorTest {
  private static final long MS = 1_000_000;
  private static final List<String> OTHERS = List.of("a", "b", "c", "d");

  private static final HealthReport NONE = new HealthReport(false, -1),
      NOW = new HealthReport(true, 0);
  private final HealthCheckCoordinator asker = new HealthCheckCoordinator(),
      owner = new HealthCheckCoordinator();
  private long now = 1000 * MS;

  private HealthCheckCoordinator.ReportRequest ask() {
    HealthCheckCoordinator.ReportRequest ask = asker.nextReportRequest(now, 5, () -> OTHERS, false);
    for (int ms = 0; ask == null && ms < 5000; ms++) {
      now += MS;
      ask = asker.nextReportRequest(now, 5, () -> OTHERS, false);
    }
    return ask;
  }

  @Test
  void nobodyIsAskedWhileNothingIsAsideAndThenTheFirstThreeInTurnUntilOneAnswers() {
    assertNull(asker.nextReportRequest(now, 5, () -> OTHERS, false));
    asker.healthChanged(now, "x", false);
    assertEquals(
        List.of("a", "b", "c", "a"),
        IntStream.range(0, 4).mapToObj(one -> ask().recipient()).toList());
    assertFalse(asker.isCentralized(now, false));
    HealthCheckCoordinator.ReportRequest ask = ask();
    assertEquals("b", ask.recipient());
    asker.reportReceived(now + MS, "b", 7, ask.requestedAtNanos(), Map.of("x", NONE));
    assertTrue(asker.isCentralized(now + MS, false));
    assertEquals("b", ask().recipient(), "who answered is asked on");
    now += 10_000 * MS;
    assertFalse(asker.isCentralized(now, false), "silence is worth nothing");
    assertEquals("c", ask().recipient(), "and another is asked");
  }

  @Test
  void oneGatewayTriesForAllAndSaysHowLongAgoItAnswered() {
    asker.healthChanged(now, "x", false);
    HealthCheckCoordinator.ReportRequest ask = ask();
    assertEquals(Map.of("x", NONE), owner.reportRequested(now, "a", ask.endpoints()));
    assertEquals(List.of("x"), owner.dueHealthChecks(now));
    assertEquals(List.of(), owner.dueHealthChecks(now), "one at a time");
    owner.healthCheckEnded(now + 30 * MS, "x", HealthCheckCoordinator.HealthCheckOutcome.ANSWERED);
    now += 100 * MS;
    Map<String, HealthReport> ago = owner.reportRequested(now, "a", ask.endpoints());
    assertEquals(Map.of("x", new HealthReport(true, 70 * MS)), ago);
    HealthCheckCoordinator.ReportRequest next = ask();
    assertEquals(
        Map.of("x", new HealthReport(true, 75 * MS)),
        asker.reportReceived(
            next.requestedAtNanos() + 5 * MS, next.recipient(), 3, next.requestedAtNanos(), ago),
        "the way there and back may have been all before the word");
    asker.healthChanged(now, "x", true);
    assertEquals(
        Map.of(), asker.reportReceived(now, next.recipient(), 3, next.requestedAtNanos(), ago));
  }

  @Test
  void whoDoesNotAnswerIsTriedAfterPausesThatGrowAndForNoLongerThanItIsAskedFor() {
    int tries = 0;
    for (int ms = 0; ms < 20_000; ms += 10, now += 10 * MS) {
      if (ms % 500 == 0) {
        owner.reportRequested(now, "a", List.of("x"));
      }
      for (String cache : owner.dueHealthChecks(now)) {
        tries++;
        owner.healthCheckEnded(now, cache, HealthCheckCoordinator.HealthCheckOutcome.SILENT);
      }
    }
    assertTrue(tries >= 5 && tries <= 10, tries + " in 20 s");
    now += 5000 * MS;
    assertEquals(List.of(), owner.dueHealthChecks(now));
  }

  @Test
  void theOwnerOfALargeFleetTriesMoreOften() {
    owner.nextReportRequest(now, 220, List::of, true);
    int tries = 0;
    for (int ms = 0; ms < 20_000; ms += 10, now += 10 * MS) {
      owner.reportRequested(now, "a", List.of("x"));
      for (String cache : owner.dueHealthChecks(now)) {
        tries++;
        owner.healthCheckEnded(now, cache, HealthCheckCoordinator.HealthCheckOutcome.SILENT);
      }
    }
    assertTrue(tries >= 20 && tries <= 25, tries + " in 20 s");
  }

  @Test
  void wordOfAnOlderTermOrToAnotherQuestionIsWorthNothing() {
    asker.healthChanged(now, "x", false);
    HealthCheckCoordinator.ReportRequest first = ask();
    assertEquals(
        1, asker.reportReceived(now, "a", 9, first.requestedAtNanos(), Map.of("x", NOW)).size());
    HealthCheckCoordinator.ReportRequest second = ask();
    assertNull(asker.reportReceived(now, "b", 8, second.requestedAtNanos(), Map.of("x", NOW)));
    assertEquals(9, asker.highestTerm());
    assertNull(
        asker.reportReceived(now, "b", 9, second.requestedAtNanos(), Map.of("x", NOW)),
        "one term is one owner's");
    assertEquals(
        Map.of(), asker.reportReceived(now, "a", 9, first.requestedAtNanos(), Map.of("x", NOW)));
    assertEquals(
        Map.of(),
        asker.reportReceived(now, "a", 9, second.requestedAtNanos(), Map.of("y", NOW)),
        "nobody asked for that");
  }

  @Test
  void anOwnerIsAskedAboutAsOftenHoweverManyAsk() {
    List<String> many = IntStream.range(0, 1000).mapToObj(one -> "g" + one).toList();
    asker.healthChanged(now, "x", false);
    int asks = 0;
    for (int ms = 0; ms < 60_000; ms += 10, now += 10 * MS) {
      HealthCheckCoordinator.ReportRequest ask =
          asker.nextReportRequest(now, 1001, () -> many, false);
      if (ask != null) {
        asks++;
        asker.reportReceived(now, ask.recipient(), 1, ask.requestedAtNanos(), Map.of("x", NONE));
      }
    }
    assertTrue(asks <= 13, asks + " a minute, of a thousand each");
    IntStream.range(0, 500)
        .forEach(
            one -> {
              asker.healthChanged(now, "cache-" + one, false);
              owner.reportRequested(now, "a", List.of("cache-" + one));
            });
    assertEquals(HealthCheckCoordinator.MOST_NAMED, ask().endpoints().size());
    assertEquals(8, owner.dueHealthChecks(now).size());
  }

  private void silentTrial(String... by) {
    now += 5000 * MS;
    for (String one : by) {
      owner.reportRequested(now, one, List.of("x"));
    }
    owner
        .dueHealthChecks(now)
        .forEach(
            cache ->
                owner.healthCheckEnded(
                    now + 400 * MS, cache, HealthCheckCoordinator.HealthCheckOutcome.SILENT));
    now += 400 * MS;
  }

  @Test
  void silenceIsToldToAllOnceTwoHaveSetItAsideAndTwoTrialsFoundItToo() {
    silentTrial("a", "b");
    assertEquals(Map.of(), owner.broadcastReport(now), "one trial");
    owner
        .dueHealthChecks(now)
        .forEach(
            cache ->
                owner.healthCheckEnded(
                    now + 400 * MS, cache, HealthCheckCoordinator.HealthCheckOutcome.SILENT));
    now += 400 * MS;
    Map<String, HealthReport> silent = owner.broadcastReport(now);
    assertEquals(Map.of("x", new HealthReport(false, 400 * MS)), silent, "from when it was asked");
    List<String> many = IntStream.range(0, 25).mapToObj(one -> "g" + one).toList();
    assertEquals(
        List.of(20, 5, 0),
        IntStream.range(0, 3)
            .mapToObj(one -> owner.broadcastRecipients(now, many).size())
            .toList());

    assertEquals(silent, asker.reportReceived(now, "o", 1, 0, silent));
    assertTrue(asker.isCentralized(now, false));
    asker.healthChanged(now, "x", false);
    assertEquals(silent, asker.reportReceived(now, "o", 1, 0, silent));
    assertEquals(
        Map.of("x", new HealthReport(true, 1000 * MS)),
        asker.reportReceived(now, "o", 1, 0, Map.of("x", NOW)),
        "unasked, it may have been on its way for long");
  }

  @Test
  void oneThatHasSetACacheAsideCondemnsItForNobodyElse() {
    for (int one = 0; one < 6; one++, now += 1000 * MS) {
      owner.reportRequested(now, "a", List.of("x"));
      owner
          .dueHealthChecks(now)
          .forEach(
              cache ->
                  owner.healthCheckEnded(
                      now, cache, HealthCheckCoordinator.HealthCheckOutcome.SILENT));
    }
    assertEquals(Map.of(), owner.broadcastReport(now));
  }

  @Test
  void aCacheThatOnlyTheOwnerCantReachIsNotSilentForAll() {
    silentTrial("a", "b");
    owner
        .dueHealthChecks(now)
        .forEach(
            cache ->
                owner.healthCheckEnded(
                    now, cache, HealthCheckCoordinator.HealthCheckOutcome.SILENT));
    Map<String, HealthReport> silent = owner.broadcastReport(now);
    assertFalse(silent.get("x").responded());
    assertEquals("", asker.endpointResponded(now, "x"), "nobody has said otherwise");
    asker.reportReceived(now, "o", 1, 0, silent);
    assertEquals("o", asker.endpointResponded(now, "x"));
    assertEquals("", asker.endpointResponded(now, "x"), "once");
    owner.endpointsResponsive(now, List.of("x"));
    assertTrue(owner.broadcastReport(now).get("x").responded());
    for (int one = 0; one < 6; one++, now += 1000 * MS) {
      owner.reportRequested(now, "b", List.of("x"));
      owner
          .dueHealthChecks(now)
          .forEach(
              cache ->
                  owner.healthCheckEnded(
                      now, cache, HealthCheckCoordinator.HealthCheckOutcome.SILENT));
    }
    assertTrue(
        owner.broadcastReport(now).get("x").responded(),
        "the owner's own silence is worth nothing for a while");
    asker.reportReceived(now, "o", 1, 0, owner.broadcastReport(now));
    assertEquals("", asker.endpointResponded(now, "x"), "the owner knows");
  }

  @Test
  void aTrialThatIsStillOutMakesTheOneBeforeNoYounger() {
    silentTrial("a", "b");
    owner
        .dueHealthChecks(now)
        .forEach(
            cache ->
                owner.healthCheckEnded(
                    now + 400 * MS, cache, HealthCheckCoordinator.HealthCheckOutcome.SILENT));
    now += 1000 * MS;
    owner.reportRequested(now, "a", List.of("x"));
    assertEquals(List.of("x"), owner.dueHealthChecks(now));
    assertEquals(
        new HealthReport(false, 1100 * MS),
        owner.broadcastReport(now + 100 * MS).get("x"),
        "what came since is not belied");
  }

  @Test
  void moreSilentCachesThanALetterHoldsAreToldInTurn() {
    List<String> all = IntStream.range(0, 25).mapToObj(one -> "c" + one).toList();
    for (int one = 0; one < 200; one++, now += 50 * MS) {
      for (int at = 0; at < all.size(); at += HealthCheckCoordinator.MOST_NAMED) {
        List<String> some =
            all.subList(at, Math.min(all.size(), at + HealthCheckCoordinator.MOST_NAMED));
        owner.reportRequested(now, "a", some);
        owner.reportRequested(now, "b", some);
      }
      owner
          .dueHealthChecks(now)
          .forEach(
              cache ->
                  owner.healthCheckEnded(
                      now, cache, HealthCheckCoordinator.HealthCheckOutcome.SILENT));
    }
    Set<String> told = new TreeSet<>();
    for (int one = 0; one < 100; one++, now += 500 * MS) {
      all.forEach(cache -> owner.reportRequested(now, "a", List.of(cache)));
      owner.broadcastRecipients(now, List.of("a"));
      told.addAll(owner.broadcastReport(now).keySet());
    }
    assertEquals(25, told.size());
  }
}
