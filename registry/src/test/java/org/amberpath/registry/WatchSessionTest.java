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

/**
 * Tests which requests a session sends to which endpoint when the registry fails, one test per
 * failure.
 */
class WatchSessionTest {
  private static final long MS = 1_000_000;
  private static final long START_NANOS = 1_000_000_000_000L * MS;

  /** A recorded command; {@code from} is a watch's start revision or a list's lower bound. */
  private record Command(String kind, long call, int endpoint, long from) {}

  private final List<String> published = new ArrayList<>();
  private final List<String> logged = new ArrayList<>();
  private final List<Command> commands = new ArrayList<>();
  private final List<Long> cancelled = new ArrayList<>();
  private final RegistryView view =
      new RegistryView(
          new PublishedLists(published, START_NANOS / MS), "p/tip", 100, 60_000 * MS, logged::add);
  private WatchSession session;
  private long nowNanos = START_NANOS;

  private final WatchCommands recorder =
      new WatchCommands() {
        @Override
        public void list(
            long call, int endpoint, long revision, String after, long since, int limit) {
          commands.add(new Command("list", call, endpoint, since));
        }

        @Override
        public void watch(long call, int endpoint, long from) {
          commands.add(new Command("watch", call, endpoint, from));
        }

        @Override
        public void heartbeat(long call, int endpoint) {
          commands.add(new Command("heartbeat", call, endpoint, 0));
        }

        @Override
        public void cancel(long call) {
          cancelled.add(call);
        }
      };

  private void start(int endpoints) {
    session =
        new WatchSession(view, recorder, new WatchSessionConfig(endpoints, 100, 0, 5), logged::add);
    session.start(nowNanos);
  }

  private List<Command> takeCommands(String kind) {
    List<Command> found = commands.stream().filter(command -> command.kind.equals(kind)).toList();
    commands.removeAll(found);
    return found;
  }

  /** Removes the recorded commands of this kind and returns the last one. */
  private Command takeLastCommand(String kind) {
    List<Command> all = takeCommands(kind);
    return all.get(all.size() - 1);
  }

  /**
   * Advances time by the given milliseconds, and answers the heartbeats that the predicate accepts
   * with the given revisions.
   */
  private void advance(long ms, Predicate<Command> answers, long revision, long tip) {
    long endNanos = nowNanos + ms * MS;
    while (nowNanos < endNanos) {
      nowNanos = Math.min(endNanos, Math.max(nowNanos + MS, session.nextTickNanos()));
      session.tick(nowNanos);
      for (Command heartbeat : takeCommands("heartbeat")) {
        if (answers.test(heartbeat)) {
          session.heartbeatReceived(nowNanos, heartbeat.call, new Header("c", revision), tip);
        }
      }
    }
  }

  private void answerList(Command list, long revision, RegistryEntry... entries) {
    session.pageReceived(
        nowNanos, list.call, new Header("c", revision), List.of(entries), false, entries.length);
  }

  /** Starts a session with three endpoints, one listed cache and two open watches. */
  private List<Command> startWithOpenWatches() {
    return startWithOpenWatches(3);
  }

  private List<Command> startWithOpenWatches(int endpoints) {
    start(endpoints);
    answerList(
        takeCommands("list").get(0),
        10,
        RegistryFixtures.endpoint("a", EndpointState.UP, 1, 9),
        RegistryFixtures.tip(9));
    List<Command> watches = takeCommands("watch");
    watches.forEach(watch -> session.watchOpened(nowNanos, watch.call, new Header("c", 10)));
    published.clear();
    return watches;
  }

  @SuppressWarnings("UnnecessaryLambda") // Named for readability at the call sites.
  private static final Predicate<Command> ANSWER_ALL = command -> true;

  @SuppressWarnings("UnnecessaryLambda") // Named for readability at the call sites.
  private static final Predicate<Command> ANSWER_NONE = command -> false;

  @Test
  void listIsReadFirstThenTwoEndpointsAreWatchedFromTheNextRevision() {
    List<Command> watches = startWithOpenWatches();
    assertEquals(2, watches.size());
    assertNotEquals(watches.get(0).endpoint, watches.get(1).endpoint);
    assertTrue(watches.stream().allMatch(command -> command.from == 11));
    assertEquals(Phase.CURRENT, session.phase());
  }

  @Test
  void sessionsOfDifferentSeedsBeginWithDifferentEndpoints() {
    List<Integer> first = new ArrayList<>();
    for (int seed = 0; seed < 20; seed++) {
      new WatchSession(view, recorder, new WatchSessionConfig(3, 100, 0, seed), logged::add)
          .start(nowNanos);
      first.add(takeCommands("list").get(0).endpoint);
    }
    assertEquals(3, first.stream().distinct().count());
  }

  @Test
  void partialFrameIsReplayedOnceItsRevisionIsComplete() {
    Command watch = startWithOpenWatches().get(0);
    Header header = new Header("c", 12);
    session.eventsReceived(
        nowNanos,
        watch.call,
        header,
        List.of(
            RegistryFixtures.put(RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 11))),
        true);
    assertEquals(List.of(), published);
    session.eventsReceived(
        nowNanos,
        watch.call,
        header,
        List.of(RegistryFixtures.put(RegistryFixtures.endpoint("b", EndpointState.UP, 11, 11))),
        false);
    assertEquals(List.of("[a~b+]"), published);
  }

  @Test
  void brokenWatchResumesAtTheNextRevision() {
    List<Command> watches = startWithOpenWatches();
    session.eventsReceived(
        nowNanos,
        watches.get(0).call,
        new Header("c", 14),
        List.of(
            RegistryFixtures.put(RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 14))),
        false);
    session.callFailed(nowNanos, watches.get(0).call, RegistryFailure.BROKEN, 0);
    advance(200, ANSWER_ALL, 14, 9);
    assertEquals(15, takeCommands("watch").get(0).from);
  }

  @Test
  void watchResyncAfterCompactionListsTheKeysWrittenSince() {
    Command watch = startWithOpenWatches().get(0);
    session.compacted(nowNanos, watch.call);
    Command list = takeCommands("list").get(0);
    assertEquals(11, list.from);
    answerList(list, 30, RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 22));
    assertEquals(List.of(), published, "the key count shows that a deletion was missed");
    Command fullList = takeCommands("list").get(0);
    assertEquals(0, fullList.from);
    answerList(fullList, 30, RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 22));
    assertEquals(List.of("[a~]"), published);
    assertEquals(31, takeCommands("watch").get(0).from);
  }

  @Test
  void drainIsAppliedInTimeWhicheverEndpointRespondsWhileAllWatchesAreSilent() {
    for (int index = 0; index < 5; index++) {
      WatchSessionTest scenario = new WatchSessionTest();
      scenario.startWithOpenWatches(5);
      int responding = index;
      scenario.advance(1000, ANSWER_ALL, 10, 9);
      long committedAtNanos = scenario.nowNanos + MS;
      // From here on all but one of five endpoints are silent, and their watches stay open. The
      // limit of 240 ms is the sum of a heartbeat period, the failovers through all endpoints, and
      // the time that a watch has to deliver a change; responses take no time here.
      while (scenario.published.isEmpty() && scenario.nowNanos - committedAtNanos < 240 * MS) {
        scenario.advance(1, command -> command.endpoint == responding, 11, 11);
        for (Command list : scenario.takeCommands("list")) {
          if (list.endpoint == responding) {
            scenario.session.pageReceived(
                scenario.nowNanos,
                list.call,
                new Header("c", 11),
                List.of(
                    RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 11),
                    RegistryFixtures.tip(11)),
                false,
                2);
          }
        }
      }
      assertEquals(
          List.of("[a~]"), scenario.published, "only endpoint " + responding + " responds");
    }
  }

  @Test
  void watchBehindTheTipOfAHeartbeatIsReplaced() {
    List<Command> watches = startWithOpenWatches();
    session.eventsReceived(
        nowNanos,
        watches.get(0).call,
        new Header("c", 11),
        List.of(RegistryFixtures.put(RegistryFixtures.tip(11))),
        false);
    advance(300, ANSWER_ALL, 11, 11);
    assertEquals(List.of(watches.get(1).call), cancelled);
    String line = "endpoint " + watches.get(1).endpoint + ": WATCH failed: LAGGING";
    assertTrue(logged.contains(line), logged::toString);
    assertTrue(takeCommands("watch").stream().anyMatch(command -> command.from == 12));
  }

  @Test
  void singleStaleHeartbeatChangesNothing() {
    startWithOpenWatches();
    advance(500, ANSWER_ALL, 10, 9);
    boolean[] sendsStale = {true};
    advance(2000, command -> true, 10, 9);
    nowNanos += MS;
    session.tick(nowNanos);
    advance(
        110,
        command -> {
          boolean isStale = sendsStale[0];
          sendsStale[0] = false;
          if (isStale) {
            session.heartbeatReceived(nowNanos, command.call, new Header("c", 4), 4);
          }
          return !isStale;
        },
        10,
        9);
    advance(1000, ANSWER_ALL, 10, 9);
    assertEquals(List.of(), takeCommands("list"));
  }

  @Test
  void revisionsThatGoBackTwiceAreANewHistory() {
    startWithOpenWatches();
    advance(500, ANSWER_ALL, 10, 9);
    advance(300, ANSWER_ALL, 4, 4);
    Command fullList = takeLastCommand("list");
    assertEquals(0, fullList.from);
    answerList(fullList, 4, RegistryFixtures.endpoint("b", EndpointState.UP, 3, 4));
    assertEquals("=[b+]", published.get(0));
    assertTrue(
        logged.contains("revisions went back from 10 to 4; requesting all keys again"),
        logged::toString);
    assertEquals(5, takeCommands("watch").get(0).from);
  }

  @Test
  void endpointOfAnotherClusterIsIgnored() {
    startWithOpenWatches();
    advance(
        20_000,
        command -> {
          if (command.endpoint == 2) {
            session.heartbeatReceived(nowNanos, command.call, new Header("other", 900), 900);
          }
          return command.endpoint != 2;
        },
        10,
        9);
    assertEquals(List.of(), takeCommands("list"));
    assertEquals(List.of(), published);
    String line = "endpoint 2: response discarded, it has the id of another cluster: 'other'";
    assertTrue(logged.contains(line), logged::toString);
  }

  @Test
  void anotherClusterAtMostEndpointsIsANewHistory() {
    startWithOpenWatches();
    advance(
        600,
        command -> {
          session.heartbeatReceived(nowNanos, command.call, new Header("other", 5), 5);
          return false;
        },
        0,
        0);
    Command fullList = takeLastCommand("list");
    session.pageReceived(nowNanos, fullList.call, new Header("other", 5), List.of(), false, 0);
    assertEquals(List.of("=[]", "purged 0/-1 " + (nowNanos - START_NANOS) / MS), published);
    assertTrue(
        logged.contains("the registry now has cluster id 'other'; requesting all keys again"),
        logged::toString);
  }

  @ParameterizedTest
  @EnumSource(
      value = RegistryFailure.class,
      names = {"UNAUTHORISED", "UNTRUSTED"})
  void failureThatNeedsAnOperatorIsRetriedSlowly(RegistryFailure failure) {
    start(1);
    int sent = 0;
    for (int step = 0; step < 1000; step++) {
      nowNanos += 10 * MS;
      session.tick(nowNanos);
      for (Command command : List.copyOf(commands)) {
        sent++;
        session.callFailed(nowNanos, command.call, failure, 0);
      }
      commands.clear();
    }
    assertTrue(sent >= 2 && sent <= 8, sent + " calls in 10 s");
  }

  @Test
  void lossOfContactChangesThePhaseAndKeepsTheView() {
    startWithOpenWatches();
    advance(1500, ANSWER_NONE, 0, 0);
    assertEquals(Phase.CUT_OFF, session.phase());
    assertEquals(List.of(), published);
    assertEquals(
        1,
        view.entries().stream()
            .filter(command -> command.value() instanceof RegistryRecord.Cache)
            .count());
  }

  @Test
  void connectionsStayWithinTheRateLimitWhileAllEndpointsRefuse() {
    start(3);
    int sent = 0;
    for (int step = 0; step < 500; step++) {
      nowNanos += 10 * MS;
      session.tick(nowNanos);
      for (Command command : List.copyOf(commands)) {
        sent++;
        session.callFailed(nowNanos, command.call, RegistryFailure.REFUSED, 0);
      }
      commands.clear();
    }
    assertTrue(sent <= 60, sent + " calls in 5 s");
  }

  @Test
  void compactionDuringAPagedListingRestartsIt() {
    start(1);
    Command list = takeCommands("list").get(0);
    session.pageReceived(
        nowNanos,
        list.call,
        new Header("c", 10),
        List.of(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1)),
        true,
        2);
    assertEquals(1, takeCommands("list").size());
    session.compacted(nowNanos, list.call);
    Command again = takeCommands("list").get(0);
    answerList(
        again,
        12,
        RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1),
        RegistryFixtures.endpoint("b", EndpointState.UP, 2, 2));
    assertEquals(List.of("=[a+b+]"), published);
  }

  @Test
  void stalledListMovesToAnotherEndpointThatAnswers() {
    start(2);
    Command list = takeCommands("list").get(0);
    advance(220, command -> command.endpoint != list.endpoint, 10, 9);
    assertEquals(List.of(list.call), cancelled);
    assertNotEquals(list.endpoint, takeLastCommand("list").endpoint);
  }

  @Test
  void retryAfterOfAServerIsHonoured() {
    start(1);
    session.callFailed(
        nowNanos, takeCommands("list").get(0).call, RegistryFailure.THROTTLED, 700 * MS);
    long failedAtNanos = nowNanos;
    takeCommands("heartbeat")
        .forEach(
            command ->
                session.callFailed(nowNanos, command.call, RegistryFailure.THROTTLED, 700 * MS));
    while (commands.isEmpty()) {
      nowNanos = Math.max(nowNanos + MS, session.nextTickNanos());
      session.tick(nowNanos);
    }
    assertTrue(nowNanos - failedAtNanos >= 700 * MS, (nowNanos - failedAtNanos) / MS + " ms");
  }
}
