package org.amberpath.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.amberpath.registry.WatchSession.Header;
import org.amberpath.registry.WatchSession.Phase;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What is asked of which endpoint when the registry fails, one story for each failure. */
class WatchSessionTest {
  private static final long MS = 1_000_000, START = 1_000_000_000_000L * MS;

  /** An order that was given; from is a watch's revision or a list's since. */
  private record Order(String what, long call, int endpoint, long from) {}

  private final List<String> told = new ArrayList<>();
  private final List<String> notes = new ArrayList<>();
  private final List<Order> orders = new ArrayList<>();
  private final List<Long> dropped = new ArrayList<>();
  private final RegistryView view =
      new RegistryView(new RegistryViewTest.Written(told), "p/tip", 100, 60_000 * MS, notes::add);
  private WatchSession recovery;
  private long now = START;

  private final WatchCommands taking =
      new WatchCommands() {
        @Override
        public void list(
            long call, int endpoint, long revision, String after, long since, int limit) {
          orders.add(new Order("list", call, endpoint, since));
        }

        @Override
        public void watch(long call, int endpoint, long from) {
          orders.add(new Order("watch", call, endpoint, from));
        }

        @Override
        public void heartbeat(long call, int endpoint) {
          orders.add(new Order("pulse", call, endpoint, 0));
        }

        @Override
        public void cancel(long call) {
          dropped.add(call);
        }
      };

  private void start(int endpoints) {
    recovery = new WatchSession(view, taking, endpoints, 100, 0, 5, notes::add);
    recovery.start(now);
  }

  private List<Order> take(String what) {
    List<Order> found = orders.stream().filter(one -> one.what.equals(what)).toList();
    orders.removeAll(found);
    return found;
  }

  /** The last of these orders that was not dropped. */
  private Order last(String what) {
    List<Order> all = take(what);
    return all.get(all.size() - 1);
  }

  /** Lets time pass; pulses are answered as the registry would, where it may. */
  private void pass(long ms, Predicate<Order> answers, long revision, long tip) {
    long end = now + ms * MS;
    while (now < end) {
      now = Math.min(end, Math.max(now + MS, recovery.nextTickNanos()));
      recovery.tick(now);
      for (Order pulse : take("pulse")) {
        if (answers.test(pulse)) {
          recovery.heartbeatReceived(now, pulse.call, new Header("c", revision), tip);
        }
      }
    }
  }

  private static RegistryEntry tip(long changed) {
    return new RegistryEntry("p/tip", new RegistryRecord.Other(), 2, changed);
  }

  private void list(Order list, long revision, RegistryEntry... all) {
    recovery.pageReceived(
        now, list.call, new Header("c", revision), List.of(all), false, all.length);
  }

  private static WatchEvent put(RegistryEntry held) {
    return new WatchEvent(held.modRevision(), held.key(), held);
  }

  /** Three endpoints, a list of one cache, two watches. */
  private List<Order> watching() {
    return watching(3);
  }

  private List<Order> watching(int endpoints) {
    start(endpoints);
    list(take("list").get(0), 10, RegistryViewTest.cache("a", EndpointState.UP, 1, 9), tip(9));
    List<Order> watches = take("watch");
    watches.forEach(watch -> recovery.watchOpened(now, watch.call, new Header("c", 10)));
    told.clear();
    return watches;
  }

  @SuppressWarnings("UnnecessaryLambda") // Named, so that a call says what it lets pass.
  private static final Predicate<Order> ALL = one -> true, NONE = one -> false;

  @Test
  void aListIsReadFirstThenTwoEndpointsAreWatchedFromTheRevisionAfterIt() {
    List<Order> watches = watching();
    assertEquals(2, watches.size());
    assertNotEquals(watches.get(0).endpoint, watches.get(1).endpoint);
    assertTrue(watches.stream().allMatch(one -> one.from == 11));
    assertEquals(Phase.CURRENT, recovery.phase());
  }

  @Test
  void gatewaysBeginWithDifferentEndpoints() {
    List<Integer> first = new ArrayList<>();
    for (int seed = 0; seed < 20; seed++) {
      new WatchSession(view, taking, 3, 100, 0, seed, notes::add).start(now);
      first.add(take("list").get(0).endpoint);
    }
    assertEquals(3, first.stream().distinct().count());
  }

  @Test
  void aFrameThatSplitsARevisionIsToldWhenItIsWhole() {
    Order watch = watching().get(0);
    Header header = new Header("c", 12);
    recovery.eventsReceived(
        now,
        watch.call,
        header,
        List.of(put(RegistryViewTest.cache("a", EndpointState.DRAINING, 1, 11))),
        true);
    assertEquals(List.of(), told);
    recovery.eventsReceived(
        now,
        watch.call,
        header,
        List.of(put(RegistryViewTest.cache("b", EndpointState.UP, 11, 11))),
        false);
    assertEquals(List.of("[a~b+]"), told);
  }

  @Test
  void aWatchThatBreaksResumesAtTheNextRevision() {
    List<Order> watches = watching();
    recovery.eventsReceived(
        now,
        watches.get(0).call,
        new Header("c", 14),
        List.of(put(RegistryViewTest.cache("a", EndpointState.DRAINING, 1, 14))),
        false);
    recovery.callFailed(now, watches.get(0).call, RegistryFailure.BROKEN, 0);
    pass(200, ALL, 14, 9);
    assertEquals(15, take("watch").get(0).from);
  }

  @Test
  void aResumeAtACompactedRevisionReadsWhatWasWrittenSince() {
    Order watch = watching().get(0);
    recovery.compacted(now, watch.call);
    Order list = take("list").get(0);
    assertEquals(11, list.from);
    list(list, 30, RegistryViewTest.cache("a", EndpointState.DRAINING, 1, 22));
    assertEquals(List.of(), told, "the count tells that a key is missing");
    Order whole = take("list").get(0);
    assertEquals(0, whole.from);
    list(whole, 30, RegistryViewTest.cache("a", EndpointState.DRAINING, 1, 22));
    assertEquals(List.of("[a~]"), told);
    assertEquals(31, take("watch").get(0).from);
  }

  @Test
  void aDrainThatNoWatchBringsIsReadInTimeWhicheverEndpointAnswers() {
    for (int alive = 0; alive < 5; alive++) {
      WatchSessionTest story = new WatchSessionTest();
      story.watching(5);
      int only = alive;
      story.pass(1000, ALL, 10, 9);
      long committed = story.now + MS;
      // From here on all but one endpoint of five are silent, and their watches stay open.
      // A pulse's time, that of all hops, and what a watch has to bring it by itself; answers take
      // no time here.
      while (story.told.isEmpty() && story.now - committed < 240 * MS) {
        story.pass(1, one -> one.endpoint == only, 11, 11);
        for (Order list : story.take("list")) {
          if (list.endpoint == only) {
            story.recovery.pageReceived(
                story.now,
                list.call,
                new Header("c", 11),
                List.of(RegistryViewTest.cache("a", EndpointState.DRAINING, 1, 11), tip(11)),
                false,
                2);
          }
        }
      }
      assertEquals(List.of("[a~]"), story.told, "endpoint " + only + " alone");
    }
  }

  @Test
  void aWatchThatStaysBehindWhatAPulseToldIsLeft() {
    List<Order> watches = watching();
    recovery.eventsReceived(
        now, watches.get(0).call, new Header("c", 11), List.of(put(tip(11))), false);
    pass(300, ALL, 11, 11);
    assertEquals(List.of(watches.get(1).call), dropped);
    assertTrue(take("watch").stream().anyMatch(one -> one.from == 12));
  }

  @Test
  void oneAnswerFromAnOldStateIsPassedOver() {
    watching();
    pass(500, ALL, 10, 9);
    boolean[] once = {true};
    pass(2000, one -> true, 10, 9);
    now += MS;
    recovery.tick(now);
    pass(
        110,
        one -> {
          boolean old = once[0];
          once[0] = false;
          if (old) {
            recovery.heartbeatReceived(now, one.call, new Header("c", 4), 4);
          }
          return !old;
        },
        10,
        9);
    pass(1000, ALL, 10, 9);
    assertEquals(List.of(), take("list"));
  }

  @Test
  void revisionsThatGoBackTwiceAreARestoredRegistry() {
    watching();
    pass(500, ALL, 10, 9);
    pass(300, ALL, 4, 4);
    Order whole = last("list");
    assertEquals(0, whole.from);
    list(whole, 4, RegistryViewTest.cache("b", EndpointState.UP, 3, 4));
    assertEquals("=[b+]", told.get(0));
    assertEquals(5, take("watch").get(0).from);
  }

  @Test
  void anEndpointOfAnotherRegistryIsPassedOverWhileTheOthersAreOwn() {
    watching();
    pass(
        20_000,
        one -> {
          if (one.endpoint == 2) {
            recovery.heartbeatReceived(now, one.call, new Header("other", 900), 900);
          }
          return one.endpoint != 2;
        },
        10,
        9);
    assertEquals(List.of(), take("list"));
    assertEquals(List.of(), told);
  }

  @Test
  void anotherRegistryAtMostEndpointsIsAFullNewList() {
    watching();
    pass(
        600,
        one -> {
          recovery.heartbeatReceived(now, one.call, new Header("other", 5), 5);
          return false;
        },
        0,
        0);
    Order whole = last("list");
    recovery.pageReceived(now, whole.call, new Header("other", 5), List.of(), false, 0);
    assertEquals(List.of("=[]", "purged 0/-1 " + (now - START) / MS), told);
  }

  @ParameterizedTest
  @EnumSource(
      value = RegistryFailure.class,
      names = {"UNAUTHORISED", "UNTRUSTED"})
  void whatPeopleMustMendIsNotRetriedAtSpeed(RegistryFailure why) {
    start(1);
    int asked = 0;
    for (int step = 0; step < 1000; step++) {
      now += 10 * MS;
      recovery.tick(now);
      for (Order order : List.copyOf(orders)) {
        asked++;
        recovery.callFailed(now, order.call, why, 0);
      }
      orders.clear();
    }
    assertTrue(asked >= 2 && asked <= 8, asked + " calls in 10 s");
  }

  @Test
  void silenceOfAllIsToldAndTheListStays() {
    watching();
    pass(1500, NONE, 0, 0);
    assertEquals(Phase.CUT_OFF, recovery.phase());
    assertEquals(List.of(), told);
    assertEquals(
        1,
        view.entries().stream().filter(one -> one.value() instanceof RegistryRecord.Cache).count());
  }

  @Test
  void refusedEverywhereTheCallsOfASecondStayWithinTheBudget() {
    start(3);
    int asked = 0;
    for (int step = 0; step < 500; step++) {
      now += 10 * MS;
      recovery.tick(now);
      for (Order order : List.copyOf(orders)) {
        asked++;
        recovery.callFailed(now, order.call, RegistryFailure.REFUSED, 0);
      }
      orders.clear();
    }
    assertTrue(asked <= 60, asked + " calls in 5 s");
  }

  @Test
  void aListIsReadByPagesAtOneRevisionAndAnewInLargerPartsWhenThatIsCompacted() {
    start(1);
    Order list = take("list").get(0);
    recovery.pageReceived(
        now,
        list.call,
        new Header("c", 10),
        List.of(RegistryViewTest.cache("a", EndpointState.UP, 1, 1)),
        true,
        2);
    assertEquals(1, take("list").size());
    recovery.compacted(now, list.call);
    Order again = take("list").get(0);
    list(
        again,
        12,
        RegistryViewTest.cache("a", EndpointState.UP, 1, 1),
        RegistryViewTest.cache("b", EndpointState.UP, 2, 2));
    assertEquals(List.of("=[a+b+]"), told);
  }

  @Test
  void aListThatFallsSilentIsReadElsewhereOnceAnotherAnswers() {
    start(2);
    Order list = take("list").get(0);
    pass(220, one -> one.endpoint != list.endpoint, 10, 9);
    assertEquals(List.of(list.call), dropped);
    assertNotEquals(list.endpoint, last("list").endpoint);
  }

  @Test
  void aServerThatAsksForFewerCallsIsLeftAloneForThatLong() {
    start(1);
    recovery.callFailed(now, take("list").get(0).call, RegistryFailure.THROTTLED, 700 * MS);
    long since = now;
    take("pulse")
        .forEach(one -> recovery.callFailed(now, one.call, RegistryFailure.THROTTLED, 700 * MS));
    while (orders.isEmpty()) {
      now = Math.max(now + MS, recovery.nextTickNanos());
      recovery.tick(now);
    }
    assertTrue(now - since >= 700 * MS, (now - since) / MS + " ms");
  }
}
