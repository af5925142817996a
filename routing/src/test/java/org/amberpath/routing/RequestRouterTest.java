package org.amberpath.routing;

import static org.amberpath.routing.RequestRouterTest.FakeHost.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.amberpath.routing.RequestRouterTest.FakeHost.Sent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Short stories: the design's path, one for each rule, and one for each failure met. */
@SuppressWarnings("ReferenceEquality") // Whether it is the very same object.
class RequestRouterTest {
  private final FakeHost host = new FakeHost().list();
  private long ids;

  /** A GET that is returned at once. */
  private Sent hit(long object, int part) {
    Sent sent = host.get(++ids, object, part);
    host.returned(sent, 50, ResponseDetail.HIT);
    return sent;
  }

  // ---- The design.

  @ParameterizedTest
  @CsvSource({"2, 3", "4, 7", "8, 15", "16, 31"})
  void partsOfOneSegmentShareACacheAndSegmentsSpread(int first, int last) {
    int apart = 0;
    for (long object = 1; object <= 40; object++) {
      int cache = hit(object, first).cache();
      assertEquals(cache, hit(object, last).cache());
      apart += hit(object, last + 1).cache() != cache ? 1 : 0;
    }
    assertTrue(apart > 20, "the next segment mostly lies elsewhere: " + apart);
  }

  @Test
  void startsAreAlwaysKeptAndRiseOnTheNextStart() {
    assertEquals(1, hit(5, 0).rank());
    assertEquals(1, hit(5, 3).rank());
    host.pass(1000);
    assertEquals(2, hit(5, 0).rank());
    assertEquals(2, hit(5, 3).rank());
  }

  @Test
  void laterSegmentsAreKeptContiguouslyAndNotOnAFirstStart() {
    hit(5, 0);
    assertEquals(0, hit(5, 4).rank());
    host.pass(1000);
    hit(5, 0);
    assertEquals(0, hit(5, 8).rank(), "segment 3 is not in the table yet");
    assertEquals(2, hit(5, 4).rank());
    assertEquals(2, hit(5, 8).rank());
  }

  @Test
  void aFullTableIsEnteredOnlyByBeatingItsLowest() {
    for (int object = 1; object <= 300; object++) {
      hit(object, 0);
    }
    host.pass(1000);
    for (int object = 1; object <= 299; object++) {
      hit(object, 0);
      hit(object, 4);
    }
    host.pass(500);
    hit(300, 0);
    assertEquals(0, hit(300, 4).rank(), "as rare as the others, and later is not better");
    host.pass(100);
    hit(300, 0);
    assertEquals(2, hit(300, 4).rank(), "now more frequent than the others");
  }

  @Test
  void gatewaysThatLearnedTheListInAnotherOrderAgree() {
    FakeHost other = new FakeHost().list(7, 6, 5, 4, 3, 2, 1, 0).round();
    for (long object = 1; object <= 50; object++) {
      Sent here = host.get(object, object, 0);
      Sent there = other.get(object, object, 0);
      assertEquals(List.of(here.cache(), here.source()), List.of(there.cache(), there.source()));
      host.returned(here, 50, ResponseDetail.HIT);
      other.returned(there, 50, ResponseDetail.HIT);
    }
  }

  // ---- For the fleet.

  private Sent firstAside() {
    Sent lost = host.get(++ids, 5, 0);
    host.ended(lost, AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    assertEquals(List.of(lost.cache()), host.aside);
    host.returned(host.last(ids), 50, ResponseDetail.HIT);
    return lost;
  }

  @Test
  void whileAnotherTriesWhatIsAsideIsLeftToItAndWordOfAnAnswerBringsItBack() {
    host.event(to -> to.gatewayShareChanged(200, 1 / 200.0));
    int cache = firstAside().cache();
    host.event(to -> to.healthChecksDelegated(true));
    for (int second = 0; second < 20; second++) {
      host.pass(1000);
      Sent sent = host.get(++ids, 5, 0);
      assertNotEquals(cache, sent.cache(), "tried by itself after " + second + " s");
      host.returned(sent, 50, ResponseDetail.HIT);
    }
    host.event(to -> to.healthReported(cache, true, 30_000 * MS)).pass(3000);
    assertEquals(List.of(cache), host.aside, "word from before it was set aside is worth nothing");
    host.event(to -> to.healthReported(cache, true, 100 * MS));
    assertEquals(List.of(), host.aside);
    host.pass(3000);
    assertEquals(cache, hit(5, 0).cache());
  }

  @Test
  void wordThatASilentCacheAnswersIsNotBelievedAgainBeforeThePauseIsOver() {
    int cache = firstAside().cache();
    host.pass(500).event(to -> to.healthReported(cache, true, 0));
    assertEquals(List.of(), host.aside, "believed once");
    Sent sent = host.get(++ids, 5, 0);
    while (sent.cache() != cache) {
      host.returned(sent, 50, ResponseDetail.HIT).pass(100);
      sent = host.get(++ids, 5, 0);
    }
    host.ended(sent, AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    assertEquals(List.of(cache), host.aside);
    host.event(to -> to.healthReported(cache, true, 0));
    assertEquals(List.of(cache), host.aside, "it has just been seen not to answer");
  }

  @Test
  void aTrialOfItsOwnAsksOneAtATimeKeepsNothingAndIsNotRepeated() {
    int cache = firstAside().cache();
    assertEquals(null, host.own(++ids, 6, 0, cache), "not before the pause is over");
    host.pass(500);
    Sent trial = host.own(++ids, 6, 0, cache);
    assertEquals(List.of(cache, 0), List.of(trial.cache(), trial.rank()));
    assertEquals(null, host.own(++ids, 6, 0, cache), "one at a time");
    host.ended(trial, AttemptOutcome.CONNECTION_LOST, 1, ResponseDetail.NONE);
    assertEquals(trial, host.last(trial.get()), "not sent again");
    host.pass(5000);
    host.returned(host.own(++ids, 6, 0, cache), 50, ResponseDetail.HIT);
    assertEquals(List.of(), host.aside);
  }

  @Test
  void oneGetThatWaitsUnheardIsADoubtAndItsAnswerEndsThat() {
    Sent sent = host.get(++ids, 5, 0);
    host.pass(300);
    assertEquals(List.of(), host.aside);
    host.pass(600);
    assertEquals(List.of(sent.cache()), host.aside);
    assertNotNull(host.get(++ids, 5, 0), "and it goes on being asked");
    host.returned(sent, 900, ResponseDetail.HIT);
    assertEquals(List.of(), host.aside);
    assertEquals(List.of(sent.cache()), host.heard);
  }

  @Test
  void silenceThatOthersFoundOutCountsUnlessSomethingWasHeardHereSinceOrMostAreAside() {
    Sent sent = hit(5, 0);
    host.pass(1000).event(to -> to.healthReported(sent.cache(), false, 2000 * MS));
    assertEquals(List.of(), host.aside, "it has answered here since");
    host.event(to -> to.healthReported(sent.cache(), false, 500 * MS));
    assertEquals(List.of(sent.cache()), host.aside);
    IntStream.range(0, 4)
        .forEach(cache -> host.event(to -> to.healthReported(cache, false, 100 * MS)));
    assertEquals(3, host.aside.size(), "one more than half of four, and no further");
  }

  @Test
  void whatIsFilledAheadIsAPartOfWhatAColdCacheIsPromised() {
    host.event(to -> to.gatewayShareChanged(200, 1 / 200.0));
    host.change(1, EndpointState.UP, host.now);
    assertEquals(List.of(1), host.cold);
    int sent = 0, refused = 0;
    for (int ms = 0; ms < 1000; ms += 5) {
      Sent own = host.own(++ids, 1 + ids % 97, 0, -1);
      refused += own == null ? 1 : 0;
      if (own != null) {
        sent++;
        assertEquals(List.of(1, 1), List.of(own.cache(), own.rank()));
        host.returned(own, 50, ResponseDetail.FILLED);
      }
      host.pass(5);
    }
    // Weight 4 at 0.1 s a GET is 40 a second; a quarter of three times a fifth to a quarter of it,
    // beside the viewers'.
    assertTrue(sent >= 3 && sent <= 40 * 3 * 0.25 * 0.3, sent + " in a second");
    assertTrue(refused > 100, "what the hash gives to others is not filled: " + refused);
    for (int object = 1; object < 97; object++) {
      assertEquals(null, host.pass(20).own(++ids, object, 9, -1), "no later segment");
    }
    assertNotNull(
        IntStream.range(1, 97)
            .mapToObj(object -> host.pass(10).own(++ids, object, 3, -1))
            .filter(java.util.Objects::nonNull)
            .findFirst()
            .orElse(null),
        "the first ones still");
  }

  @Test
  void whatMayNotBeRepeatedIsNeverAskedForByItself() {
    host.configure(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false);
    host.change(1, EndpointState.UP, host.now);
    for (int one = 0; one < 50; one++) {
      assertEquals(null, host.own(++ids, one, 0, one % 2 == 0 ? -1 : 0));
    }
  }

  // ---- The rules.

  @Test
  void aGetWithNoCacheIsShedAtOnce() {
    IntStream.range(0, 4).forEach(cache -> host.change(cache, EndpointState.GONE, 0));
    host.get(1, 5, 0);
    assertEquals(List.of(1L), host.shed);
  }

  @Test
  void anUnansweredGetIsErroredAtItsTimeAndNothingFollows() {
    Sent sent = host.get(1, 5, 0);
    assertEquals(host.now + 2000 * MS, sent.until());
    host.now += 2000 * MS;
    host.ended(sent, AttemptOutcome.TIMED_OUT, 2000, ResponseDetail.NONE);
    assertEquals(List.of(1L), host.errored);
    host.event(to -> to.clientDisconnected(1))
        .ended(sent, AttemptOutcome.CANCELLED, 2000, ResponseDetail.NONE)
        .pass(3000);
    assertEquals(1, host.sent.size() + host.shed.size());
    assertEquals(1, host.errored.size());
  }

  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT, FAILED, ALL, again",
    "IDEMPOTENT, REJECTED, ALL, again",
    "IDEMPOTENCY_KEY, CONNECTION_LOST, ALL, again",
    "IDEMPOTENCY_KEY, REJECTED, CELL, again",
    "NON_IDEMPOTENT, REJECTED, ALL, again",
    "NON_IDEMPOTENT, CONNECTION_LOST, ALL, errored",
    "NON_IDEMPOTENT, FAILED, ALL, errored",
    "NON_IDEMPOTENT, CANCELLED, ALL, errored"
  })
  void noEffectTwice(
      Idempotency effect, AttemptOutcome outcome, IdempotencyScope group, String expected) {
    host.configure(effect, group, false);
    host.ended(host.get(1, 5, 0), outcome, 10, ResponseDetail.NONE);
    assertEquals(expected.equals("again") ? 2 : 1, host.sent.size());
    assertEquals(expected.equals("errored") ? List.of(1L) : List.of(), host.errored);
    assertTrue(host.shed.isEmpty());
  }

  @ParameterizedTest
  @CsvSource({"CONNECTION_LOST, 1", "FAILED, 1", "REJECTED, 2"})
  void noEffectTwiceWhereWhatIsNeverKeptGoesStraightToAParentAndThenTheOrigin(
      AttemptOutcome outcome, int sent) {
    host.bypass = true;
    host.configure(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, true);
    host.ended(host.get(1, 5, 0), outcome, 10, ResponseDetail.NONE);
    while (host.sent.size() < sent) { // Both parents are tried before the origin.
      host.ended(host.last(1), AttemptOutcome.REJECTED, 10, ResponseDetail.NONE);
    }
    assertEquals(sent, host.sent.size());
    assertEquals(sent == 1 ? List.of(1L) : List.of(), host.errored);
  }

  @Test
  void aTokenedGetThatMayHaveRunStaysInItsCellAndWindow() {
    host.configure(Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.CELL, false);
    long begun = host.now;
    Sent first = host.get(1, 5, 0);
    host.ended(first, AttemptOutcome.FAILED, 10, ResponseDetail.NONE);
    assertEquals(first.cache() % 2, host.last(1).cache() % 2);
    assertEquals(begun + 1000 * MS, host.sendBy, "a connection may come up after the window");
    host.now += 1100 * MS;
    host.ended(host.last(1), AttemptOutcome.FAILED, 10, ResponseDetail.NONE);
    assertEquals(2, host.sent.size());
    assertEquals(
        List.of(1L), host.errored, "past the window, and a shed would invite a repeat elsewhere");
  }

  @ParameterizedTest
  @EnumSource(
      value = EndpointState.class,
      names = {"DRAINING", "GONE"})
  void nothingNewGoesToOrThroughWhatDrains(EndpointState state) {
    host.change(1, state, 0).change(6, state, 0);
    for (long object = 1; object <= 60; object++) {
      Sent sent = hit(object, 0);
      assertNotEquals(1, sent.cache());
      assertEquals(5, sent.source());
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 5})
  void aColdMemberGetsAThinSliceThatWidens(int cold) {
    int usual = share(cold, 0);
    host.change(cold, EndpointState.UP, host.now);
    int thin = share(cold, 0);
    host.pass(5000);
    int wide = share(cold, 0);
    assertTrue(thin > 0 && thin < usual / 4, "thin " + thin + " of " + usual);
    assertTrue(wide > usual / 2 && wide < usual, "wide " + wide + " of " + usual);
  }

  private int share(int member, long firstObject) {
    int count = 0;
    for (long object = firstObject; object < firstObject + 400; object++) {
      Sent sent = hit(object, 0);
      count += sent.cache() == member || sent.source() == member ? 1 : 0;
      host.pass(5);
    }
    return count;
  }

  @Test
  void aColdCacheAloneInItsZoneIsHeldToItsBudget() {
    for (int cache = 1; cache < 4; cache++) {
      host.change(cache, EndpointState.GONE, 0);
    }
    host.change(0, EndpointState.UP, host.now);
    for (long id = 1; id <= 200; id++) {
      host.get(id, id, 0);
    }
    // A tenth of 4 transfers, times 3, for a second: 1.2 s of work of 0.1 s each, of which a part
    // is ours.
    assertTrue(host.sent.size() >= 2 && host.sent.size() <= 12, "sent " + host.sent.size());
    assertEquals(200, host.sent.size() + host.shed.size());
  }

  /**
   * Met on a hunted day: in a jam peers are sent more than they return, and a cold cache got its
   * part.
   */
  @Test
  void whatPeersAreSentButDoNotReturnGivesAColdCacheNoBudget() {
    host.sized = false;
    host.configure(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, false);
    for (int i = 0; i < 300; i++) {
      host.ended(host.get(++ids, i, 0), AttemptOutcome.FAILED, 1, ResponseDetail.NONE).pass(10);
    }
    host.change(0, EndpointState.UP, host.now);
    int before = host.sent.size();
    for (int i = 1000; i < 3000; i++) {
      host.ended(host.get(++ids, i, 0), AttemptOutcome.FAILED, 1, ResponseDetail.NONE);
    }
    long cold = host.sent.stream().skip(before).filter(sent -> sent.cache() == 0).count();
    assertTrue(cold >= 1 && cold <= 2, "sent " + cold);
  }

  /**
   * Met on a hunted day: small caches restarted together, and the large ones left gave them their
   * budget.
   */
  @Test
  void aColdCachesBudgetIsWhatItsOwnKindReturns() {
    int[] sent = new int[2];
    for (int kind = 0; kind < 2; kind++) {
      FakeHost one = new FakeHost();
      one.sized = false;
      one.coldKind = kind == 0 ? "box" : "small";
      one.list(1, 2, 3, 5, 6, 7).round();
      for (int i = 0; i < 400; i++) {
        one.pass(10).returned(one.get(i, i, 0), 50, ResponseDetail.HIT);
      }
      one.change(0, EndpointState.UP, one.now);
      for (int i = 1000; i < 1400; i++) {
        Sent get = one.get(i, i, 0);
        sent[kind] += get != null && get.cache() == 0 ? 1 : 0;
      }
    }
    assertTrue(
        sent[0] > sent[1] && sent[1] > 0,
        "like the others " + sent[0] + ", of its own kind " + sent[1]);
  }

  /**
   * Met at full size: a hundred gateways' parts of a cold cache's budget are each less than one
   * GET.
   */
  @Test
  void manyGatewaysTogetherKeepAColdCachesBudgetAndUseIt() {
    int sent = 0;
    for (int gateway = 0; gateway < 100; gateway++) {
      FakeHost one = new FakeHost();
      one.gateways = 100;
      one.seed = gateway;
      one.list();
      IntStream.range(1, 4).forEach(cache -> one.change(cache, EndpointState.GONE, 0));
      one.change(0, EndpointState.UP, one.now);
      for (long id = 1; id <= 40; id++) {
        one.get(id, id, 0);
        one.pass(50);
      }
      sent += one.sent.size();
    }
    // A tenth to 0.28 of 4 transfers, times 3, for two seconds: 4.5 s of work of 0.1 s each.
    assertTrue(sent >= 5 && sent <= 30, "sent " + sent);
  }

  /**
   * How many GETs a cold cache gets in two seconds of so many gateways that know that they are more
   * than told.
   */
  private static int sentToACold(int gateways, int told, double part) {
    int sent = 0;
    for (int gateway = 0; gateway < gateways; gateway++) {
      FakeHost one = new FakeHost();
      one.gateways = told;
      one.seed = gateway;
      one.list();
      IntStream.range(1, 4).forEach(cache -> one.change(cache, EndpointState.GONE, 0));
      if (part >= 0) {
        one.event(to -> to.gatewayShareChanged(3 * told + gateways - told, part));
      }
      one.change(0, EndpointState.UP, one.now);
      for (long id = 1; id <= 40; id++) {
        one.get(id, id, 0);
        one.pass(50);
      }
      sent += one.sent.size();
    }
    return sent;
  }

  @Test
  void gatewaysBeyondTheToldNumberKeepAColdCachesBudgetTogether() {
    int unaware = sentToACold(60, 10, -1), aware = sentToACold(60, 10, 1.0 / 80);
    assertTrue(unaware >= 60 && aware <= 30, "unaware " + unaware + ", aware " + aware);
  }

  @Test
  void aGatewayWithoutAPartSendsAColdCacheOneGetAtMost() {
    assertTrue(sentToACold(10, 10, 0) <= 10);
    host.list().event(to -> to.gatewayShareChanged(9, 0));
    host.event(to -> to.gatewayShareChanged(9, 1.0 / 9));
    assertNotNull(host.get(++ids, 5, 0), "it serves again once it has one");
  }

  /**
   * Met on a hunted day: caches and parents came back together, and nearly every GET was a fill.
   */
  @Test
  void aColdParentIsChargedInFullForWhatColdCachesAsk() {
    for (int i = 0; i < 200; i++) {
      host.returned(host.get(++ids, i, 0), 50, ResponseDetail.HIT).pass(10);
    }
    IntStream.range(0, 4).forEach(cache -> host.change(cache, EndpointState.UP, host.now));
    host.change(5, EndpointState.UP, host.now).change(6, EndpointState.GONE, 0);
    int before = host.sent.size();
    for (int i = 1000; i < 1300; i++) {
      Sent sent = host.get(++ids, i, 0);
      if (sent != null) {
        host.returned(sent, 50, ResponseDetail.HIT);
      }
    }
    long asked = host.sent.stream().skip(before).filter(sent -> sent.source() == 5).count();
    // A tenth of 4 transfers, times 2, for a second: 0.8 s of work of 0.1 s each, less than a third
    // is ours.
    assertTrue(asked <= 2, "asked " + asked);
  }

  /** Met on incident i42021b: the origin holds everything, so held-only binds nothing there. */
  @Test
  void pastItsLimitTheOriginIsNotAskedDirectlyEither() {
    host.change(5, EndpointState.GONE, 0).change(6, EndpointState.GONE, 0);
    for (int i = 0; i < 60; i++) {
      host.pass(250).returned(host.get(++ids, i, 0), 1500, ResponseDetail.FILLED_BY_ORIGIN);
    }
    for (int i = 100; i < 150; i++) {
      host.get(++ids, i, 0);
    }
    assertEquals(host.last(ids).cache(), host.last(ids).source());
  }

  @ParameterizedTest
  @CsvSource({"5, 0", "0, 9", "0, -1"})
  void copiesFromBeforeAPurgeAreNotAskedForUntilAllHaveDroppedThem(long object, int group) {
    assertEquals(0, hit(5, 0).age());
    host.event(to -> to.objectPurged(object, group, 100 * MS)).pass(400);
    long age = hit(5, 0).age();
    assertTrue(age > 400 * MS && age < 500 * MS, "younger than the purge: " + age);
    assertEquals(object == 0, hit(6, 0).age() > 0, "another object of the group");
    Sent busy = host.get(++ids, 7, 0);
    host.pass(6500);
    assertEquals(0, hit(5, 0).age());
    assertNotNull(busy);
  }

  // ---- Failures met.

  /** Met at full size: where gateways share a zone, most viewings' starts are not seen here. */
  @ParameterizedTest
  @CsvSource({"1, 0", "10, 2"})
  void partsSeenStandForStartsThatWentToOtherGateways(int gateways, int rank) {
    FakeHost one = new FakeHost();
    one.gateways = gateways;
    one.list().get(1, 5, 9);
    one.pass(3000);
    assertEquals(rank, one.get(2, 5, 9).rank(), "of another viewing, so asked for again");
    assertEquals(0, one.get(3, 6, 9).rank(), "of a first viewing");
  }

  @Test
  void aCrashedCacheIsLeftAtOnceThenTriedAndTrusted() {
    Sent sent = host.get(1, 5, 0);
    host.ended(sent, AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    Sent second = host.last(1);
    assertNotEquals(sent.cache(), second.cache());
    host.returned(second, 50, ResponseDetail.HIT);
    assertEquals(second.cache(), hit(5, 0).cache(), "set aside");
    host.pass(400);
    assertEquals(sent.cache(), hit(5, 0).cache(), "one GET as a trial");
    assertEquals(second.cache(), hit(5, 0).cache(), "the trickle is thin");
    host.pass(3000);
    assertEquals(sent.cache(), hit(5, 0).cache(), "all went well, though hardly a GET came");
  }

  /**
   * Met on incident ie243ac: single answers were cut off everywhere, and each time a cache was set
   * aside.
   */
  @Test
  void aCacheThatLosesSingleAnswersButReturnsOthersStays() {
    Sent sent = host.get(++ids, 5, 0);
    for (int i = 0; i < 20; i++) {
      host.ended(host.get(++ids, 5, 0), AttemptOutcome.CONNECTION_LOST, 50, ResponseDetail.NONE);
      host.returned(host.last(ids), 50, ResponseDetail.HIT).pass(100);
      assertEquals(sent.cache(), hit(5, 0).cache());
    }
  }

  @Test
  void aHungCacheIsSetAsideAndItsGetsAreSentElsewhere() {
    Sent stuck = host.get(++ids, 5, 0);
    for (int i = 0; i < 150; i++) {
      Sent sent = host.get(++ids, 2000 + i, 0);
      if (sent.cache() != stuck.cache()) {
        host.returned(sent, 50, ResponseDetail.HIT);
      }
      host.pass(10);
    }
    Sent copy = host.last(stuck.get());
    assertNotEquals(stuck.cache(), copy.cache());
    host.returned(copy, 50, ResponseDetail.HIT);
    assertTrue(host.calledOff.contains(stuck.get() + "/0"));
  }

  /** Most of a store silent: the one cache that answers must not get all keys of the others. */
  @Test
  void whenMostCachesFallSilentNoneIsSetAside() {
    for (int i = 0; i < 60; i++) {
      Sent sent = host.pass(25).get(++ids, i, 0);
      if (sent.cache() == 3) {
        host.returned(sent, 50, ResponseDetail.HIT);
      }
    }
    long well =
        host.sent.stream().skip(host.sent.size() - 15).filter(sent -> sent.cache() == 3).count();
    assertTrue(well <= 13, "sent to the one that answers " + well);
  }

  @Test
  void aSourceThatIsNotReachedIsPassedOver() {
    Sent first = host.get(1, 5, 0);
    host.ended(first, AttemptOutcome.REJECTED, 10, ResponseDetail.FILL_SOURCE_UNREACHABLE);
    assertEquals(first.cache(), host.last(1).cache(), "not the cache's fault");
    assertNotEquals(first.source(), host.last(1).source());
  }

  /**
   * Met on a day with a slow origin: both parents' fills timed out, and all fills went to the
   * origin.
   */
  @Test
  void parentsBehindWhichTheOriginFailsStayTheSources() {
    int ended = 0;
    for (int i = 0; i < 40; i++) {
      host.pass(50).get(++ids, i, 0);
      while (ended < host.sent.size()) {
        host.ended(
            host.sent.get(ended++),
            AttemptOutcome.FAILED,
            50,
            ResponseDetail.FILL_SOURCE_UNREACHABLE);
      }
    }
    host.pass(1000);
    assertTrue(host.get(++ids, 500, 0).source() != 7);
  }

  /**
   * Met on the overload days and all three first incidents: misses queued and hits waited behind
   * them.
   */
  @Test
  void whenFillsComeLateOnlyWhatIsHeldIsReturnedAndMissesAreShed() {
    for (int i = 0; i < 60; i++) {
      Sent sent = host.get(++ids, i, 0);
      host.pass(250).returned(sent, 1500, ResponseDetail.FILLED);
    }
    for (int i = 100; i < 130; i++) {
      host.get(++ids, i, 0);
    }
    Sent held = host.get(++ids, 500, 0);
    assertEquals(held.cache(), held.source());
    host.ended(held, AttemptOutcome.NOT_CACHED, 1, ResponseDetail.NONE);
    assertEquals(List.of(held.get()), host.shed);
  }

  /**
   * Met on days with a slow origin: every expired copy was shed though an ageing one would have
   * done.
   */
  @Test
  void whenTheOriginIsLateAgeingCopiesAndTheParentsOwnWillDo() {
    host.fresh = 5000 * MS;
    host.configure(Idempotency.IDEMPOTENT, IdempotencyScope.ALL, false);
    for (int i = 0; i < 60; i++) {
      Sent sent = host.get(++ids, i, 0);
      assertTrue(sent.has(AttemptCommand.REVALIDATE) && sent.age() == host.fresh);
      host.pass(250).returned(sent, 1500, ResponseDetail.FILLED_BY_ORIGIN);
      host.returned(host.get(++ids, i, 0), 50, ResponseDetail.FILLED);
    }
    for (int i = 100; i < 150; i++) {
      host.get(++ids, i, 0);
    }
    Sent held = host.last(ids);
    assertTrue(held.has(AttemptCommand.CACHED_ONLY) && !held.has(AttemptCommand.REVALIDATE));
    assertEquals(2 * host.fresh, held.age());
  }

  @Test
  void aCacheWhoseHitsComeLatePassesOnAndThenGetsAreShed() {
    for (int i = 0; i < 200; i++) {
      Sent sent = host.get(++ids, i, 0);
      host.pass(250).returned(sent, 1500, ResponseDetail.HIT);
    }
    for (int i = 300; i < 400; i++) {
      host.get(++ids, i, 0);
    }
    assertTrue(host.shed.size() > 50, "shed " + host.shed.size());
  }

  /** Met on an overload day: GETs over the limit went straight to a parent and jammed it. */
  @Test
  void whatIsOverTheLimitDoesNotPassTheCachesBy() {
    host.bypass = true;
    aCacheWhoseHitsComeLatePassesOnAndThenGetsAreShed();
    assertTrue(host.sent.stream().allMatch(sent -> sent.cache() < 4));
  }

  @Test
  void aHotSegmentSpreadsOverTheNextCaches() {
    Set<Integer> used = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      used.add(host.get(++ids, 5, 4).cache());
    }
    assertTrue(used.size() > 1);
  }

  @Test
  void furtherForwardsAreACappedShare() {
    for (int i = 0; i < 400; i++) {
      Sent sent = host.get(++ids, i, 0);
      host.ended(sent, AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
      while (host.last(sent.get()) != sent) {
        sent = host.last(sent.get());
        host.ended(sent, AttemptOutcome.REJECTED, 1, ResponseDetail.NONE);
      }
    }
    int further = host.sent.size() - 400;
    assertTrue(further > 40 && further <= 40 + 400 / 5, "further " + further);
    assertEquals(400, host.shed.size());
  }

  /**
   * Met on a day on which one answer in a hundred never came: the parents' limits closed and a
   * sixth was shed.
   */
  @Test
  void answersThatGetLostDoNotCloseTheLimitOfASourceThatIsHeard() {
    for (int i = 0; i < 30; i++) {
      Sent lost = host.get(++ids, 1000 + i, 0);
      for (int after = 0; after < 12; after++) {
        host.pass(150)
            .returned(host.get(++ids, 2000 + 100 * i + after, 0), 50, ResponseDetail.FILLED);
      }
      host.ended(lost, AttemptOutcome.TIMED_OUT, 1800, ResponseDetail.NONE);
    }
    int before = host.sent.size();
    for (int i = 0; i < 24; i++) {
      host.get(++ids, 9000 + i, 0);
    }
    assertEquals(
        24,
        host.sent.stream()
            .skip(before)
            .filter(one -> one.source() == 5 || one.source() == 6)
            .count());
  }

  /** Met on the same day: what would never come stood in the limits until its viewer timeout. */
  @Test
  void aGetThatIsOvertakenIsSentAgainAndHoldsNoLimit() {
    Sent lost = host.get(++ids, 1000, 0);
    for (int after = 0; after < 6; after++) {
      host.pass(150);
      for (int object = 0; object < 8; object++) {
        Sent next = host.get(++ids, 2000 + 10 * after + object, 0);
        host.pass(20)
            .returned(
                next,
                20,
                object % 2 == 0 ? ResponseDetail.FILLED_BY_ORIGIN : ResponseDetail.FILLED);
      }
    }
    host.pass(20);
    Sent again = host.last(lost.get());
    assertNotEquals(lost, again);
    host.returned(again, 50, ResponseDetail.HIT);
    assertEquals(List.of(lost.get() + "/0"), host.calledOff);
  }

  @Test
  void anIndexThatComesBackIsAnotherCache() {
    Set<Long> before = new HashSet<>();
    Set<Long> both = new HashSet<>();
    LongStream.rangeClosed(1, 200)
        .filter(object -> hit(object, 0).cache() == 0)
        .forEach(before::add);
    host.change(0, EndpointState.GONE, 0);
    host.event(
        to -> {
          to.endpointListStarted(EndpointListKind.CHANGES);
          to.endpointListed(
              new EndpointDescription(0, "10.9.9.9:90", "here", "box", 0, EndpointState.UP, 4, 0));
          to.endpointListCompleted();
        });
    LongStream.rangeClosed(1, 200).filter(object -> hit(object, 0).cache() == 0).forEach(both::add);
    assertTrue(both.size() > 20);
    both.retainAll(before);
    assertTrue(
        both.size() < before.size() * 2 / 3,
        both.size() + " of " + before.size() + " keys are still its own");
  }

  /**
   * A host for one gateway: tells it of a small site, plays events to it and writes down what it
   * decides.
   */
  static final class FakeHost implements RoutingConfig, RoutingActions {
    static final long MS = 1_000_000L;

    record Sent(
        long get, int copy, int cache, long until, int source, long age, int rank, int switches) {
      boolean has(int wanted) {
        return (switches & wanted) != 0;
      }
    }

    Idempotency effect = Idempotency.IDEMPOTENT;
    IdempotencyScope group = IdempotencyScope.ALL;
    long fresh = 0;
    boolean bypass = false, neverKept = false;
    boolean sized = true;
    int gateways = 1;
    String coldKind = "box";
    int seed = 7;
    final List<Sent> sent = new ArrayList<>();
    final List<Long> shed = new ArrayList<>();
    final List<Long> errored = new ArrayList<>();
    final List<String> calledOff = new ArrayList<>();
    final List<Integer> aside = new ArrayList<>(),
        heard = new ArrayList<>(),
        cold = new ArrayList<>();
    long now = 1_000_000 * MS, sendBy;
    private RequestRouter router;
    private final List<Consumer<RoutingEventHandler>> events = new ArrayList<>();
    private long wakeAt = Long.MAX_VALUE;

    /**
     * Caches 0 to 3 in the own zone, 4 in another, parents 5 and 6, origin 7, in the given order.
     */
    FakeHost list(int... order) {
      events.add(to -> to.endpointListStarted(EndpointListKind.FULL));
      for (int cache : order) {
        events.add(to -> member(to, cache, EndpointState.UP, 0));
      }
      events.add(RoutingEventHandler::endpointListCompleted);
      return this;
    }

    /** Starts the gateway anew under another traffic class, knowing the endpoints alone. */
    void configure(Idempotency idempotency, IdempotencyScope scope, boolean neverCached) {
      effect = idempotency;
      group = scope;
      neverKept = neverCached;
      router = null;
      list();
    }

    FakeHost list() {
      return list(0, 1, 2, 3, 4, 5, 6, 7).round();
    }

    FakeHost change(int cache, EndpointState state, long startedAt) {
      events.add(to -> to.endpointListStarted(EndpointListKind.CHANGES));
      events.add(to -> member(to, cache, state, startedAt));
      events.add(RoutingEventHandler::endpointListCompleted);
      return round();
    }

    private void member(RoutingEventHandler to, int cache, EndpointState state, long startedAt) {
      String kind = cache == 7 ? "origin" : cache > 4 ? "parent" : cache == 0 ? coldKind : "box";
      String zone = cache > 4 ? "hub" : cache == 4 ? "other" : "here";
      to.endpointListed(
          new EndpointDescription(
              cache, "10.0.0." + cache + ":90", zone, kind, cache % 2, state, 4, startedAt));
    }

    /** A GET with two seconds left; the answer is the forward that was sent for it, or null. */
    Sent get(long id, long object, int part) {
      events.add(
          to ->
              to.requestReceived(
                  new RequestDetails(id, 0, object, 9, part, 2000 * MS, 100, false)));
      round();
      return last(id);
    }

    Sent last(long id) {
      return sent.stream().filter(one -> one.get == id).reduce((a, b) -> b).orElse(null);
    }

    FakeHost ended(Sent one, AttemptOutcome outcome, long tookMs, ResponseDetail note) {
      boolean settled = outcome == AttemptOutcome.SUCCEEDED;
      events.add(
          to ->
              to.attemptEnded(
                  new AttemptResult(
                      one.get, one.copy, one.cache, outcome, tookMs * MS, settled, note)));
      return round();
    }

    FakeHost returned(Sent one, long tookMs, ResponseDetail note) {
      return ended(one, AttemptOutcome.SUCCEEDED, tookMs, note);
    }

    FakeHost event(Consumer<RoutingEventHandler> event) {
      events.add(event);
      return round();
    }

    @Override
    public void endpointHealthChanged(int cache, EndpointHealthStatus health) {
      aside.remove((Integer) cache);
      if (health == EndpointHealthStatus.RESPONSIVE) {
        heard.add(cache);
      }
      if (health == EndpointHealthStatus.SUSPECT) {
        aside.add(cache);
      }
    }

    @Override
    public void endpointWarmingUp(int cache, long until) {
      cold.add(cache);
    }

    /** A GET of this gateway's own; the forward that was sent for it, or null. */
    Sent own(long id, long object, int part, int cache) {
      event(
          to ->
              to.syntheticRequestReceived(
                  new RequestDetails(id, 0, object, 9, part, 500 * MS, 100, false), cache));
      return last(id);
    }

    /** Lets time pass, waking the gateway when it asked to be woken. */
    FakeHost pass(long ms) {
      long until = now + ms * MS;
      while (wakeAt <= until) {
        now = wakeAt;
        wakeAt = Long.MAX_VALUE;
        event(to -> to.timerFired("sweep"));
      }
      now = until;
      return this;
    }

    FakeHost round() {
      router = router == null ? new RequestRouter(this) : router;
      router.decide(now, to -> events.forEach(event -> event.accept(to)), this);
      events.clear();
      return this;
    }

    @Override
    public void sendAttempt(AttemptCommand command) {
      int copy = (int) sent.stream().filter(one -> one.get == command.requestId()).count();
      sent.add(
          new Sent(
              command.requestId(),
              copy,
              command.endpoint(),
              command.deadlineNanos(),
              command.source(),
              command.maxAgeNanos(),
              command.rank(),
              command.options()));
    }

    @Override
    public void limitRetryStart(long get, long time) {
      sendBy = time;
    }

    @Override
    public void reject(long get, long wait) {
      shed.add(get);
    }

    @Override
    public void fail(long get) {
      errored.add(get);
    }

    @Override
    public void cancelAttempt(long get, int copy) {
      calledOff.add(get + "/" + copy);
    }

    @Override
    public void scheduleTimer(long delay, String handle) {
      wakeAt = now + delay;
    }

    @Override
    public void subscribeEndpoints() {}

    @Override
    public long seed() {
      return seed;
    }

    @Override
    public int gateways() {
      return 3 * gateways;
    }

    @Override
    public int gatewaysInZone() {
      return gateways;
    }

    @Override
    public String zone() {
      return "here";
    }

    @Override
    public Optional<String> parentKind() {
      return Optional.of("parent");
    }

    @Override
    public Optional<String> originKind() {
      return Optional.of("origin");
    }

    @Override
    public boolean weightIsSize() {
      return sized;
    }

    @Override
    public boolean endpointListOnRequest() {
      return false;
    }

    @Override
    public int trafficClassCount() {
      return 1;
    }

    @Override
    public boolean bypassAllowed() {
      return bypass;
    }

    @Override
    public boolean coalescing() {
      return true;
    }

    @Override
    public double transferKilobytesPerSecond() {
      return 1000;
    }

    @Override
    public long purgeRetentionNanos() {
      return 6000 * MS;
    }

    @Override
    public long overloadWindowNanos() {
      return 1000 * MS;
    }

    @Override
    public TrafficClassConfig trafficClass(int index) {
      return new TrafficClassConfig(
          effect, group, 1000 * MS, 300 * MS, 2, 1, neverKept, fresh, fresh);
    }

    @Override
    public RetryConfig retries() {
      return new RetryConfig(4, true, true, true, 500 * MS);
    }

    @Override
    public SlowStartConfig edgeSlowStart() {
      return new SlowStartConfig(0.1, 10_000 * MS, 3);
    }

    @Override
    public SlowStartConfig parentSlowStart() {
      return new SlowStartConfig(0.1, 10_000 * MS, 2);
    }
  }
}
