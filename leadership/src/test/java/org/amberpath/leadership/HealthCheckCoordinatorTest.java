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
import org.amberpath.leadership.HealthCheckCoordinator.Said;
import org.junit.jupiter.api.Test;

/** A gateway that asks, and an owner that is asked. */
class HealthCheckCoordinatorTest {
  private static final long MS = 1_000_000;
  private static final List<String> OTHERS = List.of("a", "b", "c", "d");

  private static final Said NONE = new Said(false, -1), NOW = new Said(true, 0);
  private final HealthCheckCoordinator asker = new HealthCheckCoordinator(),
      owner = new HealthCheckCoordinator();
  private long now = 1000 * MS;

  private HealthCheckCoordinator.Ask ask() {
    HealthCheckCoordinator.Ask ask = asker.due(now, 5, () -> OTHERS, false);
    for (int ms = 0; ask == null && ms < 5000; ms++) {
      now += MS;
      ask = asker.due(now, 5, () -> OTHERS, false);
    }
    return ask;
  }

  @Test
  void nobodyIsAskedWhileNothingIsAsideAndThenTheFirstThreeInTurnUntilOneAnswers() {
    assertNull(asker.due(now, 5, () -> OTHERS, false));
    asker.standing(now, "x", false);
    assertEquals(
        List.of("a", "b", "c", "a"), IntStream.range(0, 4).mapToObj(one -> ask().to()).toList());
    assertFalse(asker.forAll(now, false));
    HealthCheckCoordinator.Ask ask = ask();
    assertEquals("b", ask.to());
    asker.word(now + MS, "b", 7, ask.stamp(), Map.of("x", NONE));
    assertTrue(asker.forAll(now + MS, false));
    assertEquals("b", ask().to(), "who answered is asked on");
    now += 10_000 * MS;
    assertFalse(asker.forAll(now, false), "silence is worth nothing");
    assertEquals("c", ask().to(), "and another is asked");
  }

  @Test
  void oneGatewayTriesForAllAndSaysHowLongAgoItAnswered() {
    asker.standing(now, "x", false);
    HealthCheckCoordinator.Ask ask = ask();
    assertEquals(Map.of("x", NONE), owner.asked(now, "a", ask.caches()));
    assertEquals(List.of("x"), owner.tries(now));
    assertEquals(List.of(), owner.tries(now), "one at a time");
    owner.tried(now + 30 * MS, "x", HealthCheckCoordinator.End.ANSWERED);
    now += 100 * MS;
    Map<String, Said> ago = owner.asked(now, "a", ask.caches());
    assertEquals(Map.of("x", new Said(true, 70 * MS)), ago);
    HealthCheckCoordinator.Ask next = ask();
    assertEquals(
        Map.of("x", new Said(true, 75 * MS)),
        asker.word(next.stamp() + 5 * MS, next.to(), 3, next.stamp(), ago),
        "the way there and back may have been all before the word");
    asker.standing(now, "x", true);
    assertEquals(Map.of(), asker.word(now, next.to(), 3, next.stamp(), ago));
  }

  @Test
  void whoDoesNotAnswerIsTriedAfterPausesThatGrowAndForNoLongerThanItIsAskedFor() {
    int tries = 0;
    for (int ms = 0; ms < 20_000; ms += 10, now += 10 * MS) {
      if (ms % 500 == 0) {
        owner.asked(now, "a", List.of("x"));
      }
      for (String cache : owner.tries(now)) {
        tries++;
        owner.tried(now, cache, HealthCheckCoordinator.End.SILENT);
      }
    }
    assertTrue(tries >= 5 && tries <= 10, tries + " in 20 s");
    now += 5000 * MS;
    assertEquals(List.of(), owner.tries(now));
  }

  @Test
  void theOwnerOfALargeFleetTriesMoreOften() {
    owner.due(now, 220, List::of, true);
    int tries = 0;
    for (int ms = 0; ms < 20_000; ms += 10, now += 10 * MS) {
      owner.asked(now, "a", List.of("x"));
      for (String cache : owner.tries(now)) {
        tries++;
        owner.tried(now, cache, HealthCheckCoordinator.End.SILENT);
      }
    }
    assertTrue(tries >= 20 && tries <= 25, tries + " in 20 s");
  }

  @Test
  void wordOfAnOlderTermOrToAnotherQuestionIsWorthNothing() {
    asker.standing(now, "x", false);
    HealthCheckCoordinator.Ask first = ask();
    assertEquals(1, asker.word(now, "a", 9, first.stamp(), Map.of("x", NOW)).size());
    HealthCheckCoordinator.Ask second = ask();
    assertNull(asker.word(now, "b", 8, second.stamp(), Map.of("x", NOW)));
    assertEquals(9, asker.seen());
    assertNull(
        asker.word(now, "b", 9, second.stamp(), Map.of("x", NOW)), "one term is one owner's");
    assertEquals(Map.of(), asker.word(now, "a", 9, first.stamp(), Map.of("x", NOW)));
    assertEquals(
        Map.of(),
        asker.word(now, "a", 9, second.stamp(), Map.of("y", NOW)),
        "nobody asked for that");
  }

  @Test
  void anOwnerIsAskedAboutAsOftenHoweverManyAsk() {
    List<String> many = IntStream.range(0, 1000).mapToObj(one -> "g" + one).toList();
    asker.standing(now, "x", false);
    int asks = 0;
    for (int ms = 0; ms < 60_000; ms += 10, now += 10 * MS) {
      HealthCheckCoordinator.Ask ask = asker.due(now, 1001, () -> many, false);
      if (ask != null) {
        asks++;
        asker.word(now, ask.to(), 1, ask.stamp(), Map.of("x", NONE));
      }
    }
    assertTrue(asks <= 13, asks + " a minute, of a thousand each");
    IntStream.range(0, 500)
        .forEach(
            one -> {
              asker.standing(now, "cache-" + one, false);
              owner.asked(now, "a", List.of("cache-" + one));
            });
    assertEquals(HealthCheckCoordinator.MOST_NAMED, ask().caches().size());
    assertEquals(8, owner.tries(now).size());
  }

  private void silentTrial(String... by) {
    now += 5000 * MS;
    for (String one : by) {
      owner.asked(now, one, List.of("x"));
    }
    owner
        .tries(now)
        .forEach(cache -> owner.tried(now + 400 * MS, cache, HealthCheckCoordinator.End.SILENT));
    now += 400 * MS;
  }

  @Test
  void silenceIsToldToAllOnceTwoHaveSetItAsideAndTwoTrialsFoundItToo() {
    silentTrial("a", "b");
    assertEquals(Map.of(), owner.news(now), "one trial");
    owner
        .tries(now)
        .forEach(cache -> owner.tried(now + 400 * MS, cache, HealthCheckCoordinator.End.SILENT));
    now += 400 * MS;
    Map<String, Said> silent = owner.news(now);
    assertEquals(Map.of("x", new Said(false, 400 * MS)), silent, "from when it was asked");
    List<String> many = IntStream.range(0, 25).mapToObj(one -> "g" + one).toList();
    assertEquals(
        List.of(20, 5, 0),
        IntStream.range(0, 3).mapToObj(one -> owner.toldNow(now, many).size()).toList());

    assertEquals(silent, asker.word(now, "o", 1, 0, silent));
    assertTrue(asker.forAll(now, false));
    asker.standing(now, "x", false);
    assertEquals(silent, asker.word(now, "o", 1, 0, silent));
    assertEquals(
        Map.of("x", new Said(true, 1000 * MS)),
        asker.word(now, "o", 1, 0, Map.of("x", NOW)),
        "unasked, it may have been on its way for long");
  }

  @Test
  void oneThatHasSetACacheAsideCondemnsItForNobodyElse() {
    for (int one = 0; one < 6; one++, now += 1000 * MS) {
      owner.asked(now, "a", List.of("x"));
      owner.tries(now).forEach(cache -> owner.tried(now, cache, HealthCheckCoordinator.End.SILENT));
    }
    assertEquals(Map.of(), owner.news(now));
  }

  @Test
  void aCacheThatOnlyTheOwnerCantReachIsNotSilentForAll() {
    silentTrial("a", "b");
    owner.tries(now).forEach(cache -> owner.tried(now, cache, HealthCheckCoordinator.End.SILENT));
    Map<String, Said> silent = owner.news(now);
    assertFalse(silent.get("x").answers());
    assertEquals("", asker.answers(now, "x"), "nobody has said otherwise");
    asker.word(now, "o", 1, 0, silent);
    assertEquals("o", asker.answers(now, "x"));
    assertEquals("", asker.answers(now, "x"), "once");
    owner.heard(now, List.of("x"));
    assertTrue(owner.news(now).get("x").answers());
    for (int one = 0; one < 6; one++, now += 1000 * MS) {
      owner.asked(now, "b", List.of("x"));
      owner.tries(now).forEach(cache -> owner.tried(now, cache, HealthCheckCoordinator.End.SILENT));
    }
    assertTrue(
        owner.news(now).get("x").answers(), "the owner's own silence is worth nothing for a while");
    asker.word(now, "o", 1, 0, owner.news(now));
    assertEquals("", asker.answers(now, "x"), "the owner knows");
  }

  @Test
  void aTrialThatIsStillOutMakesTheOneBeforeNoYounger() {
    silentTrial("a", "b");
    owner
        .tries(now)
        .forEach(cache -> owner.tried(now + 400 * MS, cache, HealthCheckCoordinator.End.SILENT));
    now += 1000 * MS;
    owner.asked(now, "a", List.of("x"));
    assertEquals(List.of("x"), owner.tries(now));
    assertEquals(
        new Said(false, 1100 * MS),
        owner.news(now + 100 * MS).get("x"),
        "what came since is not belied");
  }

  @Test
  void moreSilentCachesThanALetterHoldsAreToldInTurn() {
    List<String> all = IntStream.range(0, 25).mapToObj(one -> "c" + one).toList();
    for (int one = 0; one < 200; one++, now += 50 * MS) {
      for (int at = 0; at < all.size(); at += HealthCheckCoordinator.MOST_NAMED) {
        List<String> some =
            all.subList(at, Math.min(all.size(), at + HealthCheckCoordinator.MOST_NAMED));
        owner.asked(now, "a", some);
        owner.asked(now, "b", some);
      }
      owner.tries(now).forEach(cache -> owner.tried(now, cache, HealthCheckCoordinator.End.SILENT));
    }
    Set<String> told = new TreeSet<>();
    for (int one = 0; one < 100; one++, now += 500 * MS) {
      all.forEach(cache -> owner.asked(now, "a", List.of(cache)));
      owner.toldNow(now, List.of("a"));
      told.addAll(owner.news(now).keySet());
    }
    assertEquals(25, told.size());
  }
}
