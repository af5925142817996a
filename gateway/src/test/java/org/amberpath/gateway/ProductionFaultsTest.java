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
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.CommandHandler;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.JournalRelay;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.StubJournal;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.gateway.testsupport.TimedCommand;
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
  private GatewayTestbed testbed;
  private int number;

  @BeforeEach
  void start() throws Exception {
    testbed = new GatewayTestbed();
  }

  @AfterEach
  void end() throws Exception {
    testbed.close();
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  private static String requestId(int ofNumber) {
    return String.format("%016x", ofNumber);
  }

  private static void await(BooleanSupplier condition, String what) throws InterruptedException {
    long since = System.nanoTime();
    while (!condition.getAsBoolean()) {
      assertTrue(
          millisSince(since) < TimeUnit.SECONDS.toMillis(GatewayTestbed.TIMEOUT_SECONDS), what);
      Thread.sleep(BETWEEN_REQUESTS_MILLIS / 2);
    }
  }

  /** The wants among what came to caches, of one request. */
  private static List<TimedCommand> attemptsOf(List<List<TimedCommand>> seen, int ofNumber) {
    return seen.stream()
        .flatMap(List::stream)
        .filter(
            one ->
                one.command().element(0).equals("want")
                    && one.command().element(1).equals(requestId(ofNumber)))
        .toList();
  }

  private List<List<TimedCommand>> handleAll(List<StubCache> caches, CommandHandler reaction) {
    List<List<TimedCommand>> seen = new ArrayList<>();
    for (StubCache cache : caches) {
      seen.add(testbed.handleCommands(cache, reaction));
    }
    return seen;
  }

  private static void serve(ReceivedCommand command) throws Exception {
    command.replyOk("part " + command.field("seg"));
  }

  private static void hang(ReceivedCommand command) {}

  /** One more request, which has to be served with the bytes of its part. */
  private void requestServed(TestClient client) throws Exception {
    int part = ++number % PARTS;
    client.sendRequest(number, "parts", LONG_MILLIS, part);
    ClientAnswer answer = client.receive();
    assertEquals(null, answer.error(), "request " + number);
    assertEquals(
        "part " + part, new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8));
  }

  /** Asks for all parts in turn until the condition holds; every request has to be served. */
  private void requestUntil(TestClient client, BooleanSupplier done) throws Exception {
    long since = System.nanoTime();
    while (!done.getAsBoolean()) {
      assertTrue(
          millisSince(since) < 2 * TimeUnit.SECONDS.toMillis(GatewayTestbed.TIMEOUT_SECONDS),
          "it never comes");
      requestServed(client);
      Thread.sleep(BETWEEN_REQUESTS_MILLIS);
    }
  }

  private void requestFor(TestClient client, long millis) throws Exception {
    long since = System.nanoTime();
    requestUntil(client, () -> millisSince(since) > millis);
  }

  /**
   * Whatever else came for the connection's requests, nothing is left of it: the next answer is the
   * status.
   */
  private static void assertNoFurtherAnswer(TestClient client) throws Exception {
    assertEquals(9999, client.requestStatus().messageId());
  }

  /** Drains c0 at a journal; all requests are served, and c0 gets its last one within the bound. */
  private void assertDrainTakesEffect(
      StubJournal at,
      StubCache drained,
      List<TimedCommand> seen,
      TestClient client,
      long withinMillis)
      throws Exception {
    long before = System.nanoTime();
    requestUntil(
        client,
        () ->
            seen.stream().anyMatch(one -> one.atNanos() > before)); // It has its part of the keys.
    long arguments = System.nanoTime();
    at.listEndpoint("c0", drained.address(), "box", "draining");
    int[] seenAt = {seen.size(), number};
    requestUntil(
        client,
        () -> { // Until each part has been asked for three times elsewhere.
          if (seen.size() > seenAt[0]) {
            seenAt[0] = seen.size();
            seenAt[1] = number;
          }
          return number - seenAt[1] > 3 * PARTS;
        });
    long last = seen.stream().mapToLong(TimedCommand::atNanos).max().orElseThrow();
    assertTrue(
        last - arguments < TimeUnit.MILLISECONDS.toNanos(withinMillis),
        "a request " + TimeUnit.NANOSECONDS.toMillis(last - arguments) + " ms after the drain");
  }

  // ---- New configurations in a row.

  /**
   * The first of two has a journal that does not reply, does not let connections come up, or
   * refuses them.
   */
  @ParameterizedTest
  @CsvSource({"silent, false", "unreachable, false", "refusing, false", "silent, true"})
  void lastOfTwoReloadsDeterminesTheJournal(String first, boolean lastIsSlow) throws Exception {
    List<StubCache> caches = testbed.start(folder, 2, testbed.journal.address());
    List<List<TimedCommand>> seen = handleAll(caches, ProductionFaultsTest::serve);
    StubJournal between = testbed.copyOfJournal();
    StubJournal last = testbed.copyOfJournal();
    between.replyOverride = "";
    JournalRelay way = testbed.relay(last);
    way.delayMillis = lastIsSlow ? 1000 : 0;
    String betweenAddress =
        switch (first) {
          case "silent" -> between.address();
          case "unreachable" -> testbed.fullAddress();
          default -> testbed.refusingAddress();
        };
    GatewayOptions one = testbed.options(folder, betweenAddress);
    GatewayOptions two = testbed.options(folder, way.address());
    testbed.gateway.reload(() -> one);
    testbed.gateway.reload(() -> two);
    String asked = last.polls.poll(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(asked);
    assertTrue(asked.startsWith("tail=3&"), asked);
    TestClient client = testbed.client();
    assertDrainTakesEffect(last, caches.get(0), seen.get(0), client, lastIsSlow ? 6000 : 2000);
    between.replyOverride = null;
    between.listEndpoint("c1", caches.get(1).address(), "box", "gone");
    testbed.journal.listEndpoint("c1", caches.get(1).address(), "box", "gone");
    testbed.journal.polls.clear();
    between.polls.clear();
    requestFor(client, 500);
    assertTrue(
        testbed.journal.polls.isEmpty() && between.polls.isEmpty(),
        "journals that were left are not asked");
  }

  // ---- Discovery.

  /**
   * A reply that takes a second more: requests are served all the while, and a drain is heeded
   * seconds later.
   */
  @Test
  void slowDiscoveryServesRequestsAndADrainTakesEffect() throws Exception {
    JournalRelay way = testbed.relay(testbed.journal);
    way.delayMillis = 1000;
    List<StubCache> caches = testbed.start(folder, 2, way.address());
    List<List<TimedCommand>> seen = handleAll(caches, ProductionFaultsTest::serve);
    assertDrainTakesEffect(testbed.journal, caches.get(0), seen.get(0), testbed.client(), 6000);
  }

  /** Of four connections three are reset, and the fourth is served. */
  @Test
  void overloadedDiscoveryServesRequestsAndADrainTakesEffect() throws Exception {
    JournalRelay way = testbed.relay(testbed.journal);
    way.resetsAllButOneOf = 4;
    List<StubCache> caches = testbed.start(folder, 2, way.address());
    List<List<TimedCommand>> seen = handleAll(caches, ProductionFaultsTest::serve);
    TestClient client = testbed.client();
    for (int times = 0; times < 3; times++) {
      way.resetConnections();
      requestFor(client, 300);
    }
    way.resetConnections();
    assertDrainTakesEffect(testbed.journal, caches.get(0), seen.get(0), client, 2000);
  }

  /**
   * Away for three seconds, which stand for thirty: NewsAge waits for no journal after two
   * questions that failed, and JournalClient asks again 0.1 s after each, so nothing differs
   * between the first second and the thirtieth. Where it falls silent instead, a question that is
   * open then is given up 2.6 s after it was asked.
   */
  @ParameterizedTest
  @CsvSource({"refuses, 2000", "silent, 6000"})
  void unreachableDiscoveryServesRequestsAndTheFirstDrainAfterItsReturnTakesEffect(
      String how, long withinMillis) throws Exception {
    JournalRelay way = testbed.relay(testbed.journal);
    List<StubCache> caches = testbed.start(folder, 2, way.address());
    List<List<TimedCommand>> seen = handleAll(caches, ProductionFaultsTest::serve);
    TestClient client = testbed.client();
    boolean refuses = how.equals("refuses");
    if (refuses) {
      way.refuseConnections();
    } else {
      testbed.journal.replyOverride = "";
    }
    requestFor(client, 3000);
    if (refuses) {
      way.listen();
    } else {
      testbed.journal.replyOverride = null;
    }
    assertDrainTakesEffect(testbed.journal, caches.get(0), seen.get(0), client, withinMillis);
  }

  // ---- Shutdown.

  /** With endpoints that take requests and never answer, or whose connections never come up. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shutdownWithHungCachesAnswersAllRequestsAndEndsInTime(boolean connectionsComeUp)
      throws Exception {
    List<List<TimedCommand>> seen = List.of();
    if (connectionsComeUp) {
      List<StubCache> caches = new ArrayList<>(testbed.start(folder, 2, testbed.journal.address()));
      caches.add(testbed.origin);
      seen = handleAll(caches, ProductionFaultsTest::hang);
    } else {
      testbed.journal.listEndpoint("c0", testbed.fullAddress(), "box", "ready");
      testbed.journal.listEndpoint("o0", testbed.fullAddress(), "origin", "ready");
      testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
    }
    TestClient before = testbed.client();
    TestClient late = testbed.client();
    assertTrue(before.requestStatus().isReady() && late.requestStatus().isReady());
    Map<Long, Long> deadlines = new ConcurrentHashMap<>();
    int[] allowed = {200, 900, 1700, 2500};
    for (int allow : allowed) {
      requestEachClass(before, allow, deadlines);
    }
    assertEquals(9999, before.requestStatus().messageId()); // They have been read.
    long since = System.nanoTime();
    var stopped = testbed.gateway.stop().toCompletionStage().toCompletableFuture();
    var answers =
        List.of(
            testbed.threads.submit(() -> answers(before, deadlines)),
            testbed.threads.submit(() -> answers(late, deadlines)));
    for (int allow : allowed) {
      requestEachClass(late, allow, deadlines);
      Thread.sleep(50);
    }
    for (var one : answers) {
      assertEquals(
          3 * allowed.length, one.get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS).size());
    }
    stopped.get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertTrue(millisSince(since) < 3700, "ended after " + millisSince(since) + " ms");
    for (int one = 1; one <= number; one++) {
      assertTrue(attemptsOf(seen, one).size() <= MAX_ATTEMPTS);
    }
  }

  /**
   * The numbers that were answered, each once and in its time, until the gateway ends the
   * connection.
   */
  private static Set<Long> answers(TestClient client, Map<Long, Long> deadlines) throws Exception {
    Set<Long> answered = new HashSet<>();
    while (!client.isClosed()) {
      ClientAnswer answer = client.receive();
      long over =
          TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - deadlines.get(answer.messageId()));
      assertNotNull(answer.error());
      assertTrue(answered.add(answer.messageId()), "answered twice: " + answer.messageId());
      assertTrue(
          over < LATE_MILLIS, answer.messageId() + " answered " + over + " ms after its deadline");
    }
    return answered;
  }

  /** A request of each class. */
  private void requestEachClass(TestClient client, int allow, Map<Long, Long> deadlines)
      throws Exception {
    for (String service : List.of("parts", "orders", "marks")) {
      deadlines.put((long) ++number, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(allow));
      client.sendRequest(number, service, allow, number);
    }
  }

  // ---- Retries and hedged requests that fail at once.

  private static CommandHandler failing(String how) {
    return switch (how) {
      case "close" -> command -> command.socket().close();
      case "reset" -> ReceivedCommand::reset;
      case "shut" -> command -> command.socket().shutdownOutput();
      case "serve" -> ProductionFaultsTest::serve;
      default -> command -> command.reply(how, "-", new byte[0]);
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
  void attemptsThatAllFailAtOnceEndInOneResponseWithinTheBound(String how, boolean mayHaveRun)
      throws Exception {
    List<StubCache> caches = new ArrayList<>(testbed.start(folder, 5, testbed.journal.address()));
    caches.add(testbed.origin);
    List<List<TimedCommand>> seen = handleAll(caches, failing(how));
    TestClient client = testbed.client();
    for (int times = 0; times < 5; times++) {
      for (String service : List.of("parts", "orders", "marks")) {
        long since = System.nanoTime();
        client.sendRequest(++number, service, LONG_MILLIS, times);
        ClientAnswer answer = client.receive();
        assertEquals(number, answer.messageId());
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
      int attempts = attemptsOf(seen, one).size();
      assertTrue(attempts >= 1 && attempts <= most, attempts + " attempts of request " + one);
    }
  }

  @Test
  void requestsAreRejectedAtOnceWhereEveryConnectionIsRefused() throws Exception {
    for (int at = 0; at < 5; at++) {
      testbed.journal.listEndpoint("c" + at, testbed.refusingAddress(), "box", "ready");
    }
    testbed.journal.listEndpoint("o0", testbed.refusingAddress(), "origin", "ready");
    testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
    TestClient client = testbed.client();
    for (int times = 0; times < 5; times++) {
      for (String service : List.of("parts", "orders", "marks")) {
        long since = System.nanoTime();
        client.sendRequest(++number, service, LONG_MILLIS, times);
        ClientAnswer answer = client.receive();
        assertEquals("Overloaded", answer.error(), "nothing ran of " + service + " " + number);
        assertEquals(number, answer.messageId());
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
  void firstAttemptsLaterResponseIsReturnedWhereHedgedRequestsFail(String how) throws Exception {
    List<ReceivedCommand> waiting = new CopyOnWriteArrayList<>();
    List<StubCache> caches = testbed.start(folder, 3, testbed.journal.address());
    List<Set<String>> first = List.of(new HashSet<>());
    CommandHandler reaction =
        command -> {
          boolean isFirst;
          synchronized (first) {
            isFirst = first.get(0).add(command.element(1));
          }
          if (isFirst) {
            waiting.add(command);
          } else {
            failing(how).handle(command);
          }
        };
    List<List<TimedCommand>> seen = handleAll(caches, reaction);
    TestClient client = testbed.client();
    int together = 3;
    for (int one = 1; one <= together; one++) {
      client.sendRequest(one, "parts", LONG_MILLIS, 0);
    }
    await(() -> waiting.size() == together, "the first attempts");
    await(
        () -> attemptsOf(seen, 1).size() > 1 && attemptsOf(seen, 2).size() > 1, "hedged requests");
    Thread.sleep(100); // They have failed meanwhile.
    for (ReceivedCommand command : waiting) {
      serve(command);
    }
    Set<Long> answered = new HashSet<>();
    for (int one = 1; one <= together; one++) {
      ClientAnswer answer = client.receive();
      assertEquals(null, answer.error());
      assertTrue(answered.add(answer.messageId()));
    }
    assertNoFurtherAnswer(client);
    for (int one = 1; one <= together; one++) {
      assertTrue(attemptsOf(seen, one).size() <= MAX_ATTEMPTS);
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
  void requestsWithMillisecondsLeftGetOneResponseAndNoAttemptOutlivesThem(String how, boolean warm)
      throws Exception {
    List<StubCache> caches = new ArrayList<>(testbed.start(folder, 2, testbed.journal.address()));
    caches.add(testbed.origin);
    int warmed = warm ? 2 * PARTS : 0;
    CommandHandler reaction = how.equals("hang") ? ProductionFaultsTest::hang : failing(how);
    List<List<TimedCommand>> seen =
        handleAll(
            caches,
            command -> {
              if (Integer.parseInt(command.element(1), 16) <= warmed) {
                serve(command);
              } else {
                reaction.handle(command);
              }
            });
    TestClient client = testbed.client();
    while (number < warmed) {
      requestServed(client);
    }
    for (int allow = 1; allow <= 5; allow++) {
      for (String service : List.of("parts", "orders", "marks")) {
        long since = System.nanoTime();
        client.sendRequest(++number, service, allow, allow);
        assertEquals(number, client.receive().messageId());
        assertTrue(
            millisSince(since) < LATE_MILLIS, service + " after " + millisSince(since) + " ms");
        assertNoFurtherAnswer(client);
        Thread.sleep(BETWEEN_REQUESTS_MILLIS);
      }
    }
    for (int one = warmed + 1; one <= number; one++) {
      List<TimedCommand> attempts = attemptsOf(seen, one);
      assertTrue(
          attempts.size() <= 1, attempts.size() + " attempts of a request with milliseconds left");
      if (how.equals("hang") && !attempts.isEmpty()) {
        String ref = requestId(one);
        ReceivedCommand command = attempts.get(0).command();
        assertTrue(Integer.parseInt(command.field("ms")) <= 5, command.element(2));
        await(
            () ->
                command.socket().isClosed()
                    || seen.stream()
                        .flatMap(List::stream)
                        .anyMatch(
                            other ->
                                other.command().element(0).equals("never_mind")
                                    && other.command().element(1).equals(ref)),
            "given up: " + ref);
      }
    }
  }

  // ---- Idle connections.

  /**
   * Until each request's connection has ended, and the gateway has read all connections after that.
   */
  private void awaitRead(TestClient client, AtomicInteger ended) throws Exception {
    await(() -> ended.get() == number, "an end for each request");
    client.requestStatus();
    client.requestStatus();
  }

  /**
   * The next request comes at once, so that it may cross the end of its connection, or after the
   * gateway has read that. Only a shutdown is on the wire when it returns: a close waits for the
   * thread that reads there.
   */
  @ParameterizedTest
  @CsvSource({"close, true", "reset, true", "shut, false"})
  void requestAfterTheEndOfAnIdleConnectionIsServedOrNeverRetried(String how, boolean crosses)
      throws Exception {
    Map<Integer, Integer> runs = new ConcurrentHashMap<>();
    AtomicInteger ended = new AtomicInteger();
    List<List<TimedCommand>> seen =
        handleAll(
            testbed.start(folder, 3, testbed.journal.address()),
            command -> {
              runs.merge(Integer.parseInt(command.element(1), 16), 1, Integer::sum);
              serve(command);
              failing(how).handle(command);
              ended.incrementAndGet();
            });
    TestClient client = testbed.client();
    for (int times = 0; times < 20; times++) {
      if (!crosses) {
        awaitRead(client, ended);
      }
      requestServed(client);
      if (!crosses) {
        awaitRead(client, ended);
      }
      client.sendRequest(++number, "orders", LONG_MILLIS, number % PARTS);
      ClientAnswer answer = client.receive();
      assertEquals(number, answer.messageId());
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
      assertTrue(attemptsOf(seen, one).size() <= MAX_ATTEMPTS);
    }
  }

  /**
   * Whichever connection the second request takes has been forgotten: it stays open, and nothing
   * comes of it.
   */
  @ParameterizedTest
  @ValueSource(strings = {"parts", "orders"})
  void requestOnAnUnresponsiveConnectionIsAnsweredInTimeAndTheNextIsServed(String service)
      throws Exception {
    Set<Socket> forgotten = ConcurrentHashMap.newKeySet();
    List<List<TimedCommand>> seen =
        handleAll(
            testbed.start(folder, 2, testbed.journal.address()),
            command -> {
              if (command.element(1).equals(requestId(2)) && forgotten.isEmpty()) {
                forgotten.add(command.socket());
              }
              if (!forgotten.contains(command.socket())) {
                serve(command);
              }
            });
    TestClient client = testbed.client();
    int allow = 1500;
    client.sendRequest(++number, service, allow, 0);
    assertEquals(null, client.receive().error());
    long since = System.nanoTime();
    client.sendRequest(++number, service, allow, 0);
    ClientAnswer answer = client.receive();
    assertEquals(number, answer.messageId());
    assertTrue(millisSince(since) < allow + LATE_MILLIS);
    if (service.equals("orders")) {
      assertEquals(1, attemptsOf(seen, number).size());
      assertEquals("Internal", answer.error(), "it may have run");
    }
    client.sendRequest(++number, service, allow, 0);
    assertEquals(null, client.receive().error(), "on another connection");
    assertNoFurtherAnswer(client);
  }

  /**
   * Several whose first attempts wait there show that the endpoint is silent, and each is sent to
   * another.
   */
  @Test
  void idempotentRequestsOnUnresponsiveConnectionsAreServedByRetries() throws Exception {
    Set<String> attempted = ConcurrentHashMap.newKeySet();
    handleAll(
        testbed.start(folder, 3, testbed.journal.address()),
        command -> {
          if (!attempted.add(command.element(1))) {
            serve(command);
          }
        });
    TestClient client = testbed.client();
    for (int one = 0; one < 3; one++) {
      client.sendRequest(++number, "parts", LONG_MILLIS, 0);
    }
    for (int one = 0; one < 3; one++) {
      assertEquals(null, client.receive().error());
    }
    assertNoFurtherAnswer(client);
  }

  /**
   * Met with requests that have little time left: what ends while its connection comes up says
   * nothing of a fault.
   */
  @Test
  void requestThatTimesOutWhileConnectingEjectsNoEndpoint() throws Exception {
    testbed.journal.listEndpoint("c0", testbed.fullAddress(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    RequestRouter router = new RequestRouter(options.routingConfig());
    List<EndpointHealthStatus> arguments = new CopyOnWriteArrayList<>();
    testbed.start(
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
                            arguments.add((EndpointHealthStatus) values[1]);
                          }
                          return method.invoke(to, values);
                        })));
    TestClient client = testbed.client();
    client.sendRequest(1, "parts", 30, 0);
    assertNotNull(client.receive().error());
    client.requestStatus();
    assertEquals(List.of(EndpointHealthStatus.HEALTHY), arguments, "as the list said at the start");
  }

  /**
   * The connection that it takes has been forgotten: its first attempt waits for nothing, and
   * another is answered.
   */
  @Test
  void singleIdempotentRequestOnAnUnresponsiveConnectionIsServedByARetry() throws Exception {
    Set<String> attempted = ConcurrentHashMap.newKeySet();
    for (StubCache cache : testbed.start(folder, 2, testbed.journal.address())) {
      testbed.handleCommands(
          cache,
          command -> {
            if (!attempted.add(command.element(1))) {
              command.replyOk("served");
            }
          });
    }
    TestClient client = testbed.client();
    client.sendRequest(1, "parts", LONG_MILLIS, 0);
    assertEquals(null, client.receive().error());
  }
}
