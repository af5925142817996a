package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.CommandHandler;
import org.amberpath.gateway.testsupport.Conditions;
import org.amberpath.gateway.testsupport.FaultFixture;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.gateway.testsupport.TimedCommand;
import org.amberpath.routing.EndpointHealthStatus;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.RoutingActions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests endpoints that hang or fail during a shutdown, in retries and hedged requests, and when a
 * request has only milliseconds left.
 */
@Timeout(30)
class FailingEndpointsTest extends FaultFixture {
  /**
   * Guards against a shutdown that waits for endpoints that accept commands but never reply, or to
   * which no connection is ever established.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shutdownWithHungCachesAnswersAllRequestsAndEndsInTime(boolean connectionsComeUp)
      throws Exception {
    List<List<TimedCommand>> seen = List.of();
    if (connectionsComeUp) {
      List<StubCache> caches = new ArrayList<>(testbed.start(folder, 2, testbed.journal.address()));
      caches.add(testbed.origin);
      seen = handleAll(caches, FaultFixture::hang);
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
    assertEquals(
        9999, before.requestStatus().messageId()); // All requests before it have been read.
    long since = System.nanoTime();
    var stopped = testbed.gateway.stop().toCompletionStage().toCompletableFuture();
    var answers =
        List.of(
            testbed.threads.submit(() -> answers(before, deadlines)),
            testbed.threads.submit(() -> answers(late, deadlines)));
    for (int allow : allowed) {
      requestEachClass(late, allow, deadlines);
      Thread.sleep(50); // Spreads the requests over the first part of the shutdown.
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
      int maxAttempts = one % 3 == 2 && mayHaveRun ? 1 : MAX_ATTEMPTS;
      int attempts = attemptsOf(seen, one).size();
      assertTrue(
          attempts >= 1 && attempts <= maxAttempts, attempts + " attempts of request " + one);
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
   * The first attempts wait at an endpoint that hangs, while the hedged requests fail. Guards
   * against requests that are failed although their first attempts still get responses.
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
    Conditions.await(() -> waiting.size() == together, "the first attempts");
    Conditions.await(
        () -> attemptsOf(seen, 1).size() > 1 && attemptsOf(seen, 2).size() > 1, "hedged requests");
    Thread.sleep(100); // Lets the hedged requests fail.
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

  /**
   * Sends requests with 1 to 5 ms left, over new or established connections, to endpoints that
   * reply, hang, fail or close. Guards against a second response and against attempts that are
   * still in flight after their request was answered.
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
    CommandHandler reaction = how.equals("hang") ? FaultFixture::hang : failing(how);
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
        Thread.sleep(BETWEEN_REQUESTS_MILLIS); // Spaces the requests.
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
        Conditions.await(
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

  /**
   * Guards against the ejection of an endpoint because of a request with little time left: a
   * timeout while the connection is being established does not prove a fault of the endpoint.
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
   * Reads responses until the gateway closes the connection, and asserts that each is an error,
   * comes once for its request and in time. Returns the message ids of the responses.
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

  /**
   * Sends one request of each traffic class and records their deadlines.
   *
   * @param allow the time that the client allows for each, in milliseconds
   */
  private void requestEachClass(TestClient client, int allow, Map<Long, Long> deadlines)
      throws Exception {
    for (String service : List.of("parts", "orders", "marks")) {
      deadlines.put((long) ++number, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(allow));
      client.sendRequest(number, service, allow, number);
    }
  }
}
