package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.amberpath.gateway.StandIns.Answer;
import org.amberpath.gateway.StandIns.Cache;
import org.amberpath.gateway.StandIns.Client;
import org.amberpath.gateway.StandIns.Command;
import org.amberpath.gateway.StandIns.Journal;
import org.amberpath.gateway.StandIns.JournalRelay;
import org.amberpath.gateway.StandIns.Reaction;
import org.amberpath.gateway.StandIns.Seen;
import org.amberpath.routing.EndpointHealthStatus;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.RoutingActions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Faults of endpoints, discovery and clients that come together or at a bad moment, round one
 * gateway on loopback.
 */
@Timeout(30)
class ProductionFaultsTest {
  /** A deadline with which a request is served also where a retry is needed. */
  private static final int LONG_MILLIS = 4000;

  /** Up to so long after its deadline a request only earns nothing; later it is lost. */
  private static final long LATE_MILLIS = 500;

  private static final int MAX_ATTEMPTS = 3;
  private static final long BETWEEN_REQUESTS_MILLIS = 10;
  private static final int PARTS = 16;

  @TempDir private Path folder;
  private StandIns world;
  private int number;

  @BeforeEach
  void start() throws Exception {
    world = new StandIns();
  }

  @AfterEach
  void end() throws Exception {
    world.close();
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  private static String ref(int ofNumber) {
    return String.format("%016x", ofNumber);
  }

  private static void await(BooleanSupplier condition, String what) throws InterruptedException {
    long since = System.nanoTime();
    while (!condition.getAsBoolean()) {
      assertTrue(millisSince(since) < TimeUnit.SECONDS.toMillis(StandIns.PATIENCE_S), what);
      Thread.sleep(BETWEEN_REQUESTS_MILLIS / 2);
    }
  }

  /** The wants among what came to caches, of one request. */
  private static List<Seen> wants(List<List<Seen>> seen, int ofNumber) {
    return seen.stream()
        .flatMap(List::stream)
        .filter(
            one -> one.want().word(0).equals("want") && one.want().word(1).equals(ref(ofNumber)))
        .toList();
  }

  private List<List<Seen>> reactAll(List<Cache> caches, Reaction reaction) {
    List<List<Seen>> seen = new ArrayList<>();
    for (Cache cache : caches) {
      seen.add(world.react(cache, reaction));
    }
    return seen;
  }

  private static void serve(Command want) throws Exception {
    want.ok("part " + want.field("seg"));
  }

  private static void hang(Command want) {}

  /** One more request, which has to be served with the bytes of its part. */
  private void askServed(Client client) throws Exception {
    int part = ++number % PARTS;
    client.get(number, "parts", LONG_MILLIS, part);
    Answer answer = client.answer();
    assertEquals(null, answer.error(), "request " + number);
    assertEquals(
        "part " + part, new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8));
  }

  /** Asks for all parts in turn until the condition holds; every request has to be served. */
  private void askUntil(Client client, BooleanSupplier done) throws Exception {
    long since = System.nanoTime();
    while (!done.getAsBoolean()) {
      assertTrue(
          millisSince(since) < 2 * TimeUnit.SECONDS.toMillis(StandIns.PATIENCE_S),
          "it never comes");
      askServed(client);
      Thread.sleep(BETWEEN_REQUESTS_MILLIS);
    }
  }

  private void askFor(Client client, long millis) throws Exception {
    long since = System.nanoTime();
    askUntil(client, () -> millisSince(since) > millis);
  }

  /**
   * Whatever else came for the connection's requests, nothing is left of it: the next answer is the
   * status.
   */
  private static void assertNoFurtherAnswer(Client client) throws Exception {
    assertEquals(9999, client.status().number());
  }

  /** Drains c0 at a journal; all requests are served, and c0 gets its last one within the bound. */
  private void assertDrainIsHeeded(
      Journal at, Cache drained, List<Seen> seen, Client client, long withinMillis)
      throws Exception {
    long before = System.nanoTime();
    askUntil(
        client,
        () ->
            seen.stream().anyMatch(one -> one.atNanos() > before)); // It has its part of the keys.
    long told = System.nanoTime();
    at.host("c0", drained.address(), "box", "draining");
    int[] seenAt = {seen.size(), number};
    askUntil(
        client,
        () -> { // Until each part has been asked for three times elsewhere.
          if (seen.size() > seenAt[0]) {
            seenAt[0] = seen.size();
            seenAt[1] = number;
          }
          return number - seenAt[1] > 3 * PARTS;
        });
    long last = seen.stream().mapToLong(Seen::atNanos).max().orElseThrow();
    assertTrue(
        last - told < TimeUnit.MILLISECONDS.toNanos(withinMillis),
        "a request " + TimeUnit.NANOSECONDS.toMillis(last - told) + " ms after the drain");
  }

  // ---- New configurations in a row.

  /**
   * The first of two has a journal that does not reply, does not let connections come up, or
   * refuses them.
   */
  @ParameterizedTest
  @CsvSource({"silent, false", "unreachable, false", "refusing, false", "silent, true"})
  void ofTwoNewConfigurationsInARowTheJournalOfTheLastIsFollowed(String first, boolean lastIsSlow)
      throws Exception {
    List<Cache> caches = world.start(folder, 2, world.journal.address());
    List<List<Seen>> seen = reactAll(caches, ProductionFaultsTest::serve);
    Journal between = world.secondJournal();
    Journal last = world.secondJournal();
    between.instead = "";
    JournalRelay way = world.relay(last);
    way.delayMillis = lastIsSlow ? 1000 : 0;
    String betweenAddress =
        switch (first) {
          case "silent" -> between.address();
          case "unreachable" -> world.fullAddress();
          default -> world.refusingAddress();
        };
    GatewayOptions one = world.options(folder, betweenAddress);
    GatewayOptions two = world.options(folder, way.address());
    world.gateway.reload(() -> one);
    world.gateway.reload(() -> two);
    String asked = last.polls.poll(StandIns.PATIENCE_S, TimeUnit.SECONDS);
    assertNotNull(asked);
    assertTrue(asked.startsWith("tail=3&"), asked);
    Client client = world.client();
    assertDrainIsHeeded(last, caches.get(0), seen.get(0), client, lastIsSlow ? 6000 : 2000);
    between.instead = null;
    between.host("c1", caches.get(1).address(), "box", "gone");
    world.journal.host("c1", caches.get(1).address(), "box", "gone");
    world.journal.polls.clear();
    between.polls.clear();
    askFor(client, 500);
    assertTrue(
        world.journal.polls.isEmpty() && between.polls.isEmpty(),
        "journals that were left are not asked");
  }

  // ---- Discovery.

  /**
   * A reply that takes a second more: requests are served all the while, and a drain is heeded
   * seconds later.
   */
  @Test
  void whileDiscoveryIsSlowRequestsAreServedAndADrainIsHeeded() throws Exception {
    JournalRelay way = world.relay(world.journal);
    way.delayMillis = 1000;
    List<Cache> caches = world.start(folder, 2, way.address());
    List<List<Seen>> seen = reactAll(caches, ProductionFaultsTest::serve);
    assertDrainIsHeeded(world.journal, caches.get(0), seen.get(0), world.client(), 6000);
  }

  /** Of four connections three are reset, and the fourth is served. */
  @Test
  void whileDiscoveryIsCrowdedRequestsAreServedAndADrainIsHeeded() throws Exception {
    JournalRelay way = world.relay(world.journal);
    way.crowd = 4;
    List<Cache> caches = world.start(folder, 2, way.address());
    List<List<Seen>> seen = reactAll(caches, ProductionFaultsTest::serve);
    Client client = world.client();
    for (int times = 0; times < 3; times++) {
      way.cut();
      askFor(client, 300);
    }
    way.cut();
    assertDrainIsHeeded(world.journal, caches.get(0), seen.get(0), client, 2000);
  }

  /**
   * Away for three seconds, which stand for thirty: NewsAge waits for no journal after two
   * questions that failed, and JournalClient asks again 0.1 s after each, so nothing differs
   * between the first second and the thirtieth. Where it falls silent instead, a question that is
   * open then is given up 2.6 s after it was asked.
   */
  @ParameterizedTest
  @CsvSource({"refuses, 2000", "silent, 6000"})
  void whileDiscoveryIsAwayRequestsAreServedAndTheFirstDrainAfterItsReturnIsHeeded(
      String how, long withinMillis) throws Exception {
    JournalRelay way = world.relay(world.journal);
    List<Cache> caches = world.start(folder, 2, way.address());
    List<List<Seen>> seen = reactAll(caches, ProductionFaultsTest::serve);
    Client client = world.client();
    boolean refuses = how.equals("refuses");
    if (refuses) {
      way.leave();
    } else {
      world.journal.instead = "";
    }
    askFor(client, 3000);
    if (refuses) {
      way.open();
    } else {
      world.journal.instead = null;
    }
    assertDrainIsHeeded(world.journal, caches.get(0), seen.get(0), client, withinMillis);
  }

  // ---- Shutdown.

  /** With endpoints that take requests and never answer, or whose connections never come up. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cachesThatHangThroughAShutdownLeaveNoRequestUnansweredAndEndItInTime(
      boolean connectionsComeUp) throws Exception {
    List<List<Seen>> seen = List.of();
    if (connectionsComeUp) {
      List<Cache> caches = new ArrayList<>(world.start(folder, 2, world.journal.address()));
      caches.add(world.origin);
      seen = reactAll(caches, ProductionFaultsTest::hang);
    } else {
      world.journal.host("c0", world.fullAddress(), "box", "ready");
      world.journal.host("o0", world.fullAddress(), "origin", "ready");
      world.start(GatewayOptions.read(world.environment(folder)), null);
    }
    Client before = world.client();
    Client late = world.client();
    assertTrue(before.status().status() && late.status().status());
    Map<Long, Long> deadlines = new ConcurrentHashMap<>();
    int[] allowed = {200, 900, 1700, 2500};
    for (int allow : allowed) {
      ask(before, allow, deadlines);
    }
    assertEquals(9999, before.status().number()); // They have been read.
    long since = System.nanoTime();
    var stopped = world.gateway.stop().toCompletionStage().toCompletableFuture();
    var answers =
        List.of(
            world.threads.submit(() -> answers(before, deadlines)),
            world.threads.submit(() -> answers(late, deadlines)));
    for (int allow : allowed) {
      ask(late, allow, deadlines);
      Thread.sleep(50);
    }
    for (var one : answers) {
      assertEquals(3 * allowed.length, one.get(StandIns.PATIENCE_S, TimeUnit.SECONDS).size());
    }
    stopped.get(StandIns.PATIENCE_S, TimeUnit.SECONDS);
    assertTrue(millisSince(since) < 3700, "ended after " + millisSince(since) + " ms");
    for (int one = 1; one <= number; one++) {
      assertTrue(wants(seen, one).size() <= MAX_ATTEMPTS);
    }
  }

  /**
   * The numbers that were answered, each once and in its time, until the gateway ends the
   * connection.
   */
  private static Set<Long> answers(Client client, Map<Long, Long> deadlines) throws Exception {
    Set<Long> answered = new HashSet<>();
    while (!client.isClosed()) {
      Answer answer = client.answer();
      long over = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - deadlines.get(answer.number()));
      assertNotNull(answer.error());
      assertTrue(answered.add(answer.number()), "answered twice: " + answer.number());
      assertTrue(
          over < LATE_MILLIS, answer.number() + " answered " + over + " ms after its deadline");
    }
    return answered;
  }

  /** A request of each class. */
  private void ask(Client client, int allow, Map<Long, Long> deadlines) throws Exception {
    for (String service : List.of("parts", "orders", "marks")) {
      deadlines.put((long) ++number, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(allow));
      client.get(number, service, allow, number);
    }
  }

  // ---- Retries and hedged requests that fail at once.

  private static Reaction failing(String how) {
    return switch (how) {
      case "close" -> want -> want.from().close();
      case "reset" -> Command::reset;
      case "shut" -> want -> want.from().shutdownOutput();
      case "serve" -> ProductionFaultsTest::serve;
      default -> want -> want.answer(how, "-", new byte[0]);
    };
  }

  @ParameterizedTest
  @CsvSource({
    "close, true",
    "reset, true",
    "error, true",
    "refused, false",
    "stale, false",
    "nothing, false"
  })
  void attemptsThatAllFailAtOnceEndInOneAnswerWithinTheBound(String how, boolean mayHaveRun)
      throws Exception {
    List<Cache> caches = new ArrayList<>(world.start(folder, 5, world.journal.address()));
    caches.add(world.origin);
    List<List<Seen>> seen = reactAll(caches, failing(how));
    Client client = world.client();
    for (int times = 0; times < 5; times++) {
      for (String service : List.of("parts", "orders", "marks")) {
        long since = System.nanoTime();
        client.get(++number, service, LONG_MILLIS, times);
        Answer answer = client.answer();
        assertEquals(number, answer.number());
        assertNotNull(answer.error());
        assertTrue(
            millisSince(since) < LONG_MILLIS / 2, service + " after " + millisSince(since) + " ms");
        if (service.equals("orders") && mayHaveRun) {
          assertEquals("Internal", answer.error(), "it may have run");
        }
        assertNoFurtherAnswer(client);
      }
    }
    for (int one = 1; one <= number; one++) {
      int most = one % 3 == 2 && mayHaveRun ? 1 : MAX_ATTEMPTS;
      int attempts = wants(seen, one).size();
      assertTrue(attempts >= 1 && attempts <= most, attempts + " attempts of request " + one);
    }
  }

  @Test
  void whereEveryConnectionIsRefusedEachRequestIsRejectedAtOnce() throws Exception {
    for (int at = 0; at < 5; at++) {
      world.journal.host("c" + at, world.refusingAddress(), "box", "ready");
    }
    world.journal.host("o0", world.refusingAddress(), "origin", "ready");
    world.start(GatewayOptions.read(world.environment(folder)), null);
    Client client = world.client();
    for (int times = 0; times < 5; times++) {
      for (String service : List.of("parts", "orders", "marks")) {
        long since = System.nanoTime();
        client.get(++number, service, LONG_MILLIS, times);
        Answer answer = client.answer();
        assertEquals("Overloaded", answer.error(), "nothing ran of " + service + " " + number);
        assertEquals(number, answer.number());
        assertTrue(
            millisSince(since) < LONG_MILLIS / 2, service + " after " + millisSince(since) + " ms");
        assertNoFurtherAnswer(client);
      }
    }
  }

  /**
   * The first attempts wait at an endpoint that hangs; whatever fails meanwhile, its late answers
   * are returned.
   */
  @ParameterizedTest
  @ValueSource(strings = {"close", "reset", "error", "refused"})
  void whereHedgedRequestsFailAtOnceTheFirstAttemptsLaterAnswerIsReturned(String how)
      throws Exception {
    List<Command> waiting = new CopyOnWriteArrayList<>();
    List<Cache> caches = world.start(folder, 3, world.journal.address());
    List<Set<String>> first = List.of(new HashSet<>());
    Reaction reaction =
        want -> {
          boolean isFirst;
          synchronized (first) {
            isFirst = first.get(0).add(want.word(1));
          }
          if (isFirst) {
            waiting.add(want);
          } else {
            failing(how).to(want);
          }
        };
    List<List<Seen>> seen = reactAll(caches, reaction);
    Client client = world.client();
    int together = 3;
    for (int one = 1; one <= together; one++) {
      client.get(one, "parts", LONG_MILLIS, 0);
    }
    await(() -> waiting.size() == together, "the first attempts");
    await(() -> wants(seen, 1).size() > 1 && wants(seen, 2).size() > 1, "hedged requests");
    Thread.sleep(100); // They have failed meanwhile.
    for (Command want : waiting) {
      serve(want);
    }
    Set<Long> answered = new HashSet<>();
    for (int one = 1; one <= together; one++) {
      Answer answer = client.answer();
      assertEquals(null, answer.error());
      assertTrue(answered.add(answer.number()));
    }
    assertNoFurtherAnswer(client);
    for (int one = 1; one <= together; one++) {
      assertTrue(wants(seen, one).size() <= MAX_ATTEMPTS);
    }
  }

  // ---- Very little time left.

  /**
   * On connections that come up for them or are up, to endpoints that answer at once or drop it
   * without a word.
   */
  @ParameterizedTest
  @CsvSource({
    "serve, false",
    "serve, true",
    "hang, false",
    "hang, true",
    "error, true",
    "close, true"
  })
  void requestsWithMillisecondsLeftGetOneAnswerAndNoAttemptOutlivesThem(String how, boolean warm)
      throws Exception {
    List<Cache> caches = new ArrayList<>(world.start(folder, 2, world.journal.address()));
    caches.add(world.origin);
    int warmed = warm ? 2 * PARTS : 0;
    Reaction reaction = how.equals("hang") ? ProductionFaultsTest::hang : failing(how);
    List<List<Seen>> seen =
        reactAll(
            caches,
            want -> {
              if (Integer.parseInt(want.word(1), 16) <= warmed) {
                serve(want);
              } else {
                reaction.to(want);
              }
            });
    Client client = world.client();
    while (number < warmed) {
      askServed(client);
    }
    for (int allow = 1; allow <= 5; allow++) {
      for (String service : List.of("parts", "orders", "marks")) {
        long since = System.nanoTime();
        client.get(++number, service, allow, allow);
        assertEquals(number, client.answer().number());
        assertTrue(
            millisSince(since) < LATE_MILLIS, service + " after " + millisSince(since) + " ms");
        assertNoFurtherAnswer(client);
        Thread.sleep(BETWEEN_REQUESTS_MILLIS);
      }
    }
    for (int one = warmed + 1; one <= number; one++) {
      List<Seen> attempts = wants(seen, one);
      assertTrue(
          attempts.size() <= 1, attempts.size() + " attempts of a request with milliseconds left");
      if (how.equals("hang") && !attempts.isEmpty()) {
        String ref = ref(one);
        Command want = attempts.get(0).want();
        assertTrue(Integer.parseInt(want.field("ms")) <= 5, want.word(2));
        await(
            () ->
                want.from().isClosed()
                    || seen.stream()
                        .flatMap(List::stream)
                        .anyMatch(
                            other ->
                                other.want().word(0).equals("never_mind")
                                    && other.want().word(1).equals(ref)),
            "given up: " + ref);
      }
    }
  }

  // ---- Idle connections.

  /**
   * Until each request's connection has ended, and the gateway has read all connections after that.
   */
  private void awaitRead(Client client, AtomicInteger ended) throws Exception {
    await(() -> ended.get() == number, "an end for each request");
    client.status();
    client.status();
  }

  /**
   * The next request comes at once, so that it may cross the end of its connection, or after the
   * gateway has read that. Only a shutdown is on the wire when it returns: a close waits for the
   * thread that reads there.
   */
  @ParameterizedTest
  @CsvSource({"close, true", "reset, true", "shut, false"})
  void aRequestAfterTheEndOfAnIdleConnectionIsServedOrNeverRepeated(String how, boolean crosses)
      throws Exception {
    Map<Integer, Integer> runs = new ConcurrentHashMap<>();
    AtomicInteger ended = new AtomicInteger();
    List<List<Seen>> seen =
        reactAll(
            world.start(folder, 3, world.journal.address()),
            want -> {
              runs.merge(Integer.parseInt(want.word(1), 16), 1, Integer::sum);
              serve(want);
              failing(how).to(want);
              ended.incrementAndGet();
            });
    Client client = world.client();
    for (int times = 0; times < 20; times++) {
      if (!crosses) {
        awaitRead(client, ended);
      }
      askServed(client);
      if (!crosses) {
        awaitRead(client, ended);
      }
      client.get(++number, "orders", LONG_MILLIS, number % PARTS);
      Answer answer = client.answer();
      assertEquals(number, answer.number());
      int most = "Overloaded".equals(answer.error()) ? 0 : 1;
      assertTrue(
          runs.getOrDefault(number, 0) <= most,
          "run " + runs.get(number) + " times: " + answer.error());
      if (!crosses) {
        assertEquals(null, answer.error(), "its connection had ended long before");
      }
    }
    assertNoFurtherAnswer(client);
    for (int one = 1; one <= number; one++) {
      assertTrue(wants(seen, one).size() <= MAX_ATTEMPTS);
    }
  }

  /**
   * Whichever connection the second request takes has been forgotten: it stays open, and nothing
   * comes of it.
   */
  @ParameterizedTest
  @ValueSource(strings = {"parts", "orders"})
  void aRequestOnAForgottenConnectionIsAnsweredInTimeAndTheNextIsServed(String service)
      throws Exception {
    Set<Socket> forgotten = ConcurrentHashMap.newKeySet();
    List<List<Seen>> seen =
        reactAll(
            world.start(folder, 2, world.journal.address()),
            want -> {
              if (want.word(1).equals(ref(2)) && forgotten.isEmpty()) {
                forgotten.add(want.from());
              }
              if (!forgotten.contains(want.from())) {
                serve(want);
              }
            });
    Client client = world.client();
    int allow = 1500;
    client.get(++number, service, allow, 0);
    assertEquals(null, client.answer().error());
    long since = System.nanoTime();
    client.get(++number, service, allow, 0);
    Answer answer = client.answer();
    assertEquals(number, answer.number());
    assertTrue(millisSince(since) < allow + LATE_MILLIS);
    if (service.equals("orders")) {
      assertEquals(1, wants(seen, number).size());
      assertEquals("Internal", answer.error(), "it may have run");
    }
    client.get(++number, service, allow, 0);
    assertEquals(null, client.answer().error(), "on another connection");
    assertNoFurtherAnswer(client);
  }

  /**
   * Several whose first attempts wait there show that the endpoint is silent, and each is sent to
   * another.
   */
  @Test
  void repeatableRequestsThatWaitTogetherOnForgottenConnectionsAreServedByRetries()
      throws Exception {
    Set<String> attempted = ConcurrentHashMap.newKeySet();
    reactAll(
        world.start(folder, 3, world.journal.address()),
        want -> {
          if (!attempted.add(want.word(1))) {
            serve(want);
          }
        });
    Client client = world.client();
    for (int one = 0; one < 3; one++) {
      client.get(++number, "parts", LONG_MILLIS, 0);
    }
    for (int one = 0; one < 3; one++) {
      assertEquals(null, client.answer().error());
    }
    assertNoFurtherAnswer(client);
  }

  /**
   * Met with requests that have little time left: what ends while its connection comes up says
   * nothing of a fault.
   */
  @Test
  void aRequestWhoseTimeEndsWhileItsConnectionComesUpEjectsNoEndpoint() throws Exception {
    world.journal.host("c0", world.fullAddress(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(world.environment(folder));
    RequestRouter router = new RequestRouter(options.routingConfig());
    List<EndpointHealthStatus> told = new CopyOnWriteArrayList<>();
    world.start(
        options,
        (now, in, to) ->
            router.decide(
                now,
                in,
                (RoutingActions)
                    Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {RoutingActions.class},
                        (proxy, method, values) -> {
                          if (method.getName().equals("endpointHealthChanged")) {
                            told.add((EndpointHealthStatus) values[1]);
                          }
                          return method.invoke(to, values);
                        })));
    Client client = world.client();
    client.get(1, "parts", 30, 0);
    assertNotNull(client.answer().error());
    client.status();
    assertEquals(List.of(EndpointHealthStatus.HEALTHY), told, "as the list said at the start");
  }

  /**
   * The connection that it takes has been forgotten: its first attempt waits for nothing, and
   * another is answered.
   */
  @Test
  void aRepeatableRequestThatWaitsAloneOnAForgottenConnectionIsServedByARetry() throws Exception {
    Set<String> attempted = ConcurrentHashMap.newKeySet();
    for (Cache cache : world.start(folder, 2, world.journal.address())) {
      world.react(
          cache,
          want -> {
            if (!attempted.add(want.word(1))) {
              want.ok("served");
            }
          });
    }
    Client client = world.client();
    client.get(1, "parts", LONG_MILLIS, 0);
    assertEquals(null, client.answer().error());
  }
}
