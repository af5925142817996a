package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.Conditions;
import org.amberpath.gateway.testsupport.FaultFixture;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.gateway.testsupport.TimedCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests on idle endpoint connections that were closed or no longer deliver replies. */
@Timeout(30)
class IdleConnectionFaultsTest extends FaultFixture {
  /**
   * The next request is sent either immediately, so that it may cross the end of its connection, or
   * after the gateway has read that end. For the latter case the stub uses a shutdown, because only
   * that has reached the wire when the call returns; a close waits for the thread that reads there.
   */
  @ParameterizedTest
  @CsvSource({"close, true", "reset, true", "shut, false"})
  void requestAfterTheEndOfAnIdleConnectionIsServedOrNeverRetried(
      String ending, boolean sentBeforeEndIsRead) throws Exception {
    Map<Integer, Integer> executions = new ConcurrentHashMap<>();
    AtomicInteger endedConnections = new AtomicInteger();
    List<List<TimedCommand>> receivedCommands =
        handleAll(
            testbed.start(folder, 3, testbed.journal.address()),
            command -> {
              executions.merge(Integer.parseInt(command.element(1), 16), 1, Integer::sum);
              serve(command);
              faultHandler(ending).handle(command);
              endedConnections.incrementAndGet();
            });
    TestClient client = testbed.client();
    for (int repetition = 0; repetition < 20; repetition++) {
      if (!sentBeforeEndIsRead) {
        awaitEndsRead(client, endedConnections);
      }
      assertRequestServed(client);
      if (!sentBeforeEndIsRead) {
        awaitEndsRead(client, endedConnections);
      }
      client.sendRequest(
          ++lastRequestNumber, "orders", REQUEST_TIMEOUT_MILLIS, lastRequestNumber % PART_COUNT);
      ClientAnswer answer = client.receive();
      assertEquals(lastRequestNumber, answer.messageId());
      int maxAttempts = "Overloaded".equals(answer.error()) ? 0 : 1;
      assertTrue(
          executions.getOrDefault(lastRequestNumber, 0) <= maxAttempts,
          "run " + executions.get(lastRequestNumber) + " times: " + answer.error());
      if (!sentBeforeEndIsRead) {
        assertEquals(null, answer.error(), "the gateway had read the end of its connection");
      }
    }
    assertNoFurtherAnswer(client);
    for (int requestNumber = 1; requestNumber <= lastRequestNumber; requestNumber++) {
      assertTrue(attemptsOf(receivedCommands, requestNumber).size() <= MAX_ATTEMPTS);
    }
  }

  /**
   * The endpoint stops replying on the connection that carries the second request, as if it had
   * lost the connection's state. The connection stays open.
   */
  @ParameterizedTest
  @ValueSource(strings = {"parts", "orders"})
  void requestOnAnUnresponsiveConnectionIsAnsweredInTimeAndTheNextIsServed(String trafficClass)
      throws Exception {
    Set<Socket> unresponsiveSockets = ConcurrentHashMap.newKeySet();
    List<List<TimedCommand>> receivedCommands =
        handleAll(
            testbed.start(folder, 2, testbed.journal.address()),
            command -> {
              if (command.element(1).equals(requestId(2)) && unresponsiveSockets.isEmpty()) {
                unresponsiveSockets.add(command.socket());
              }
              if (!unresponsiveSockets.contains(command.socket())) {
                serve(command);
              }
            });
    TestClient client = testbed.client();
    int timeoutMillis = 1500;
    client.sendRequest(++lastRequestNumber, trafficClass, timeoutMillis, 0);
    assertEquals(null, client.receive().error());
    long startNanos = System.nanoTime();
    client.sendRequest(++lastRequestNumber, trafficClass, timeoutMillis, 0);
    ClientAnswer answer = client.receive();
    assertEquals(lastRequestNumber, answer.messageId());
    assertTrue(millisSince(startNanos) < timeoutMillis + MAX_LATENESS_MILLIS);
    if (trafficClass.equals("orders")) {
      assertEquals(1, attemptsOf(receivedCommands, lastRequestNumber).size());
      assertEquals("Internal", answer.error(), "it may have been executed");
    }
    client.sendRequest(++lastRequestNumber, trafficClass, timeoutMillis, 0);
    assertEquals(null, client.receive().error(), "served on another connection");
    assertNoFurtherAnswer(client);
  }

  /**
   * Several first attempts without a reply show that the endpoint is unresponsive, and each request
   * is retried on another endpoint.
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
      client.sendRequest(++lastRequestNumber, "parts", REQUEST_TIMEOUT_MILLIS, 0);
    }
    for (int one = 0; one < 3; one++) {
      assertEquals(null, client.receive().error());
    }
    assertNoFurtherAnswer(client);
  }

  /**
   * The first attempt never gets a reply, as on a connection whose state the endpoint has lost, and
   * a retry is answered.
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
    client.sendRequest(1, "parts", REQUEST_TIMEOUT_MILLIS, 0);
    assertEquals(null, client.receive().error());
  }

  /**
   * Waits until the connection of each request has ended and the gateway has then read from all
   * connections.
   */
  private void awaitEndsRead(TestClient client, AtomicInteger endedConnections) throws Exception {
    Conditions.await(
        () -> endedConnections.get() == lastRequestNumber,
        "the connection of each request has ended");
    client.requestStatus();
    client.requestStatus();
  }
}
