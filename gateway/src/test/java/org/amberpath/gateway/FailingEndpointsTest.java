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
  void shutdownWithHungCachesAnswersAllRequestsAndEndsInTime(boolean connectionsSucceed)
      throws Exception {
    List<List<TimedCommand>> commandsByCache = List.of();
    if (connectionsSucceed) {
      List<StubCache> caches = new ArrayList<>(testbed.start(folder, 2, testbed.journal.address()));
      caches.add(testbed.origin);
      commandsByCache = handleAll(caches, FaultFixture::hang);
    } else {
      testbed.journal.listEndpoint("c0", testbed.connectTimeoutAddress(), "box", "ready");
      testbed.journal.listEndpoint("o0", testbed.connectTimeoutAddress(), "origin", "ready");
      testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
    }
    TestClient earlyClient = testbed.client();
    TestClient lateClient = testbed.client();
    assertTrue(earlyClient.requestStatus().isReady() && lateClient.requestStatus().isReady());
    Map<Long, Long> deadlines = new ConcurrentHashMap<>();
    int[] allowancesMillis = {200, 900, 1700, 2500};
    for (int allowanceMillis : allowancesMillis) {
      requestEachClass(earlyClient, allowanceMillis, deadlines);
    }
    assertEquals(
        9999, earlyClient.requestStatus().messageId()); // All requests before it have been read.
    long stoppedAt = System.nanoTime();
    var stopped = testbed.gateway.stop().toCompletionStage().toCompletableFuture();
    var answers =
        List.of(
            testbed.executor.submit(() -> readAllAnswers(earlyClient, deadlines)),
            testbed.executor.submit(() -> readAllAnswers(lateClient, deadlines)));
    for (int allowanceMillis : allowancesMillis) {
      requestEachClass(lateClient, allowanceMillis, deadlines);
      Thread.sleep(50); // Spreads the requests over the first part of the shutdown.
    }
    for (var answer : answers) {
      assertEquals(
          3 * allowancesMillis.length,
          answer.get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS).size());
    }
    stopped.get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertTrue(millisSince(stoppedAt) < 3700, "ended after " + millisSince(stoppedAt) + " ms");
    for (int answer = 1; answer <= lastRequestNumber; answer++) {
      assertTrue(attemptsOf(commandsByCache, answer).size() <= MAX_ATTEMPTS);
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
  void attemptsThatAllFailAtOnceEndInOneResponseWithinTheBound(String failure, boolean mayHaveRun)
      throws Exception {
    List<StubCache> caches = new ArrayList<>(testbed.start(folder, 5, testbed.journal.address()));
    caches.add(testbed.origin);
    List<List<TimedCommand>> commandsByCache = handleAll(caches, faultHandler(failure));
    TestClient client = testbed.client();
    for (int part = 0; part < 5; part++) {
      for (String trafficClass : List.of("parts", "orders", "marks")) {
        long sentAt = System.nanoTime();
        client.sendRequest(++lastRequestNumber, trafficClass, REQUEST_TIMEOUT_MILLIS, part);
        ClientAnswer answer = client.receive();
        assertEquals(lastRequestNumber, answer.messageId());
        assertNotNull(answer.error());
        assertTrue(
            millisSince(sentAt) < REQUEST_TIMEOUT_MILLIS / 2,
            trafficClass + " after " + millisSince(sentAt) + " ms");
        if (trafficClass.equals("orders") && mayHaveRun) {
          assertEquals("Internal", answer.error(), "the request may have been executed");
        }
        assertNoFurtherAnswer(client);
      }
    }
    for (int requestNumber = 1; requestNumber <= lastRequestNumber; requestNumber++) {
      int maxAttempts = requestNumber % 3 == 2 && mayHaveRun ? 1 : MAX_ATTEMPTS;
      int attempts = attemptsOf(commandsByCache, requestNumber).size();
      assertTrue(
          attempts >= 1 && attempts <= maxAttempts,
          attempts + " attempts of request " + requestNumber);
    }
  }

  @Test
  void requestsAreRejectedAtOnceWhereEveryConnectionIsRefused() throws Exception {
    for (int index = 0; index < 5; index++) {
      testbed.journal.listEndpoint("c" + index, testbed.refusingAddress(), "box", "ready");
    }
    testbed.journal.listEndpoint("o0", testbed.refusingAddress(), "origin", "ready");
    testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
    TestClient client = testbed.client();
    for (int part = 0; part < 5; part++) {
      for (String trafficClass : List.of("parts", "orders", "marks")) {
        long sentAt = System.nanoTime();
        client.sendRequest(++lastRequestNumber, trafficClass, REQUEST_TIMEOUT_MILLIS, part);
        ClientAnswer answer = client.receive();
        assertEquals(
            "Overloaded",
            answer.error(),
            "request " + lastRequestNumber + " of " + trafficClass + " was not executed");
        assertEquals(lastRequestNumber, answer.messageId());
        assertTrue(
            millisSince(sentAt) < REQUEST_TIMEOUT_MILLIS / 2,
            trafficClass + " after " + millisSince(sentAt) + " ms");
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
  void lateResponseOfTheFirstAttemptIsReturnedWhereHedgedRequestsFail(String failure)
      throws Exception {
    List<ReceivedCommand> firstAttempts = new CopyOnWriteArrayList<>();
    List<StubCache> caches = testbed.start(folder, 3, testbed.journal.address());
    List<Set<String>> receivedIds = List.of(new HashSet<>());
    CommandHandler commandHandler =
        command -> {
          boolean isFirst;
          synchronized (receivedIds) {
            isFirst = receivedIds.get(0).add(command.element(1));
          }
          if (isFirst) {
            firstAttempts.add(command);
          } else {
            faultHandler(failure).handle(command);
          }
        };
    List<List<TimedCommand>> commandsByCache = handleAll(caches, commandHandler);
    TestClient client = testbed.client();
    int requestCount = 3;
    for (int requestNumber = 1; requestNumber <= requestCount; requestNumber++) {
      client.sendRequest(requestNumber, "parts", REQUEST_TIMEOUT_MILLIS, 0);
    }
    Conditions.await(() -> firstAttempts.size() == requestCount, "the first attempts");
    Conditions.await(
        () ->
            attemptsOf(commandsByCache, 1).size() > 1 && attemptsOf(commandsByCache, 2).size() > 1,
        "hedged requests");
    Thread.sleep(100); // Lets the hedged requests fail.
    for (ReceivedCommand command : firstAttempts) {
      serve(command);
    }
    Set<Long> answered = new HashSet<>();
    for (int requestNumber = 1; requestNumber <= requestCount; requestNumber++) {
      ClientAnswer answer = client.receive();
      assertEquals(null, answer.error());
      assertTrue(answered.add(answer.messageId()));
    }
    assertNoFurtherAnswer(client);
    for (int requestNumber = 1; requestNumber <= requestCount; requestNumber++) {
      assertTrue(attemptsOf(commandsByCache, requestNumber).size() <= MAX_ATTEMPTS);
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
  void requestsWithMillisecondsLeftGetOneResponseAndLeaveNoAttemptInFlight(
      String behavior, boolean connected) throws Exception {
    List<StubCache> caches = new ArrayList<>(testbed.start(folder, 2, testbed.journal.address()));
    caches.add(testbed.origin);
    int connectingRequests = connected ? 2 * PART_COUNT : 0;
    CommandHandler commandHandler =
        behavior.equals("hang") ? FaultFixture::hang : faultHandler(behavior);
    List<List<TimedCommand>> commandsByCache =
        handleAll(
            caches,
            command -> {
              if (Integer.parseInt(command.element(1), 16) <= connectingRequests) {
                serve(command);
              } else {
                commandHandler.handle(command);
              }
            });
    TestClient client = testbed.client();
    while (lastRequestNumber < connectingRequests) {
      assertRequestServed(client);
    }
    for (int allowanceMillis = 1; allowanceMillis <= 5; allowanceMillis++) {
      for (String trafficClass : List.of("parts", "orders", "marks")) {
        long sentAt = System.nanoTime();
        client.sendRequest(++lastRequestNumber, trafficClass, allowanceMillis, allowanceMillis);
        assertEquals(lastRequestNumber, client.receive().messageId());
        assertTrue(
            millisSince(sentAt) < MAX_LATENESS_MILLIS,
            trafficClass + " after " + millisSince(sentAt) + " ms");
        assertNoFurtherAnswer(client);
        Thread.sleep(REQUEST_INTERVAL_MILLIS); // Spaces the requests.
      }
    }
    for (int requestNumber = connectingRequests + 1;
        requestNumber <= lastRequestNumber;
        requestNumber++) {
      List<TimedCommand> attempts = attemptsOf(commandsByCache, requestNumber);
      assertTrue(
          attempts.size() <= 1, attempts.size() + " attempts of a request with milliseconds left");
      if (behavior.equals("hang") && !attempts.isEmpty()) {
        String requestId = requestId(requestNumber);
        ReceivedCommand command = attempts.get(0).command();
        assertTrue(Integer.parseInt(command.field("ms")) <= 5, command.element(2));
        Conditions.await(
            () ->
                command.socket().isClosed()
                    || commandsByCache.stream()
                        .flatMap(List::stream)
                        .anyMatch(
                            other ->
                                other.command().element(0).equals("never_mind")
                                    && other.command().element(1).equals(requestId)),
            "command cancelled: " + requestId);
      }
    }
  }

  /**
   * Guards against the ejection of an endpoint because of a request with little time left: a
   * timeout while the connection is being established does not prove a fault of the endpoint.
   */
  @Test
  void requestThatTimesOutWhileConnectingEjectsNoEndpoint() throws Exception {
    testbed.journal.listEndpoint("c0", testbed.connectTimeoutAddress(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    RequestRouter router = new RequestRouter(options.routingConfig());
    List<EndpointHealthStatus> healthStatuses = new CopyOnWriteArrayList<>();
    testbed.start(
        options,
        (nowNanos, events, actions) ->
            router.decide(
                nowNanos,
                events,
                (RoutingActions)
                    Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {RoutingActions.class},
                        (proxy, method, arguments) -> {
                          if (method.getName().equals("endpointHealthChanged")) {
                            healthStatuses.add((EndpointHealthStatus) arguments[1]);
                          }
                          return method.invoke(actions, arguments);
                        })));
    TestClient client = testbed.client();
    client.sendRequest(1, "parts", 30, 0);
    assertNotNull(client.receive().error());
    client.requestStatus();
    assertEquals(
        List.of(EndpointHealthStatus.HEALTHY),
        healthStatuses,
        "only the initial status was reported");
  }

  /**
   * Reads responses until the gateway closes the connection, and asserts that each is an error,
   * comes once for its request and in time. Returns the message ids of the responses.
   */
  private static Set<Long> readAllAnswers(TestClient client, Map<Long, Long> deadlines)
      throws Exception {
    Set<Long> answered = new HashSet<>();
    while (!client.isClosed()) {
      ClientAnswer answer = client.receive();
      long lateMillis =
          TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - deadlines.get(answer.messageId()));
      assertNotNull(answer.error());
      assertTrue(
          answered.add(answer.messageId()), "second answer to request " + answer.messageId());
      assertTrue(
          lateMillis < MAX_LATENESS_MILLIS,
          answer.messageId() + " answered " + lateMillis + " ms after its deadline");
    }
    return answered;
  }

  /**
   * Sends one request of each traffic class and records their deadlines.
   *
   * @param allowanceMillis the time that the client allows for each, in milliseconds
   */
  private void requestEachClass(TestClient client, int allowanceMillis, Map<Long, Long> deadlines)
      throws Exception {
    for (String trafficClass : List.of("parts", "orders", "marks")) {
      deadlines.put(
          (long) ++lastRequestNumber,
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(allowanceMillis));
      client.sendRequest(lastRequestNumber, trafficClass, allowanceMillis, lastRequestNumber);
    }
  }
}
