package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.amberpath.gateway.pipeline.BatchRouter;
import org.amberpath.gateway.testsupport.Conditions;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.PausingRouter;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.gateway.transport.SingleEventLoopTransport;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RequestRouter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests deadlines: the time of a request counts from the arrival of its last byte, also in the
 * commands that caches get, and the request is answered by its deadline whatever fails.
 */
@Timeout(60)
class RequestDeadlineTest {
  private static final long LAG_MILLIS = 900;
  private static final long TOLERANCE_MILLIS = 150;
  private static final long ALLOWANCE_MILLIS = 15_000;
  private static final long TIMEOUT_SECONDS = 20;
  private static final int CONNECTIONS = 40;
  private static final Logger ROUTING_LOG =
      Logger.getLogger("org.amberpath.gateway.pipeline.RoutingStage");

  @TempDir private Path folder;
  private GatewayTestbed testbed;
  private StubCache cache;
  private Vertx singleLoopVertx;
  private Handler logHandler;

  @BeforeEach
  void start() throws Exception {
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
  }

  @AfterEach
  void end() throws Exception {
    ROUTING_LOG.removeHandler(logHandler); // Ignores null.
    if (singleLoopVertx != null) {
      singleLoopVertx
          .close()
          .toCompletionStage()
          .toCompletableFuture()
          .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    testbed.close();
  }

  /**
   * Starts a gateway that accepts connections on its own event loop, as the server process does.
   */
  private void startOnSingleEventLoop(BatchRouter router) throws Exception {
    singleLoopVertx =
        Vertx.builder()
            .withTransport(SingleEventLoopTransport.transport())
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .build();
    testbed.gateway =
        new Gateway(
            singleLoopVertx,
            GatewayOptions.read(testbed.environment(folder)),
            GatewayExtensions.NONE,
            router);
    testbed
        .gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(strings = {"connected", "connecting", "half sent"})
  void afterEventLoopLagACommandStatesNoMoreTimeThanTheClientHas(String clientState)
      throws Exception {
    PausingRouter router =
        new PausingRouter(
            (nowNanos, events, actions) ->
                events.replayTo(
                    PausingRouter.recordingHandler(
                        (name, arguments) -> {
                          // Sends one attempt for each request, without the router's limits.
                          if (name.equals("requestReceived")) {
                            actions.sendAttempt(
                                new AttemptCommand(
                                    ((RequestDetails) arguments[0]).id(), 0, 0, 0, 0, 0, 0));
                          }
                        })));
    startOnSingleEventLoop(router);
    byte[][] requests = new byte[CONNECTIONS][];
    for (int index = 0; index < CONNECTIONS; index++) {
      requests[index] =
          TestClient.encodeRequest(
              index + 1,
              "parts",
              TestClient.requestFields(index + 1, ALLOWANCE_MILLIS, index + 1),
              new byte[0]);
    }
    List<TestClient> clients = new ArrayList<>();
    for (int index = 0; index < CONNECTIONS && !clientState.equals("connecting"); index++) {
      clients.add(testbed.client());
      clients.get(index).requestStatus();
      if (clientState.equals("half sent")) {
        clients.get(index).send(Arrays.copyOf(requests[index], requests[index].length / 2));
      }
    }
    router.pauseAfterRequest(testbed.client());
    for (int index = 0; index < CONNECTIONS; index++) {
      if (clientState.equals("connecting")) {
        clients.add(testbed.client());
      }
      int alreadySent = clientState.equals("half sent") ? requests[index].length / 2 : 0;
      clients
          .get(index)
          .send(Arrays.copyOfRange(requests[index], alreadySent, requests[index].length));
    }
    long sentBy = System.nanoTime();
    Thread.sleep(LAG_MILLIS); // The requests wait unread for this time.
    long maxLeftMillis =
        ALLOWANCE_MILLIS - (System.nanoTime() - sentBy) / 1_000_000 + TOLERANCE_MILLIS;
    router.resume();
    Map<String, Long> arguments = new ConcurrentHashMap<>();
    testbed.runInBackground(
        () -> {
          while (true) {
            ReceivedCommand command = cache.commands.take();
            if (!command.element(1).equals(PausingRouter.PAUSING_REQUEST_ID)) {
              arguments.put(command.element(1), Long.parseLong(command.field("ms")));
              command.replyOk("part");
            }
          }
        });
    int served = 0;
    for (TestClient client : clients) { // On a busy machine the gateway may shed some requests.
      String error = client.receive().error();
      served += error == null ? 1 : 0;
      assertTrue(error == null || error.equals("Overloaded"), error);
    }
    assertTrue(served > 0);
    arguments.forEach(
        (requestId, leftMillis) ->
            assertTrue(
                leftMillis <= maxLeftMillis,
                requestId
                    + " has "
                    + leftMillis
                    + " ms left, at most "
                    + maxLeftMillis
                    + " expected"));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 5})
  void requestWithTooLittleTimeLeftIsAnsweredOnceAndNeverSent(long allowanceMillis)
      throws Exception {
    testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
    TestClient client = testbed.client();
    client.sendRequest(1, "parts", allowanceMillis, 0);
    assertEquals("Overloaded", client.receive().error());
    assertTrue(client.requestStatus().isReady());
    client.sendRequest(2, "parts", ALLOWANCE_MILLIS, 0);
    assertEquals("0000000000000002", cache.nextCommand().element(1));
  }

  @Test
  void requestThatExpiredBeforeItWasReadIsAnsweredAtOnceAndNeverSent() throws Exception {
    PausingRouter router =
        new PausingRouter(
            new RequestRouter(GatewayOptions.read(testbed.environment(folder)).routingConfig())
                ::decide);
    testbed.start(GatewayOptions.read(testbed.environment(folder)), router);
    TestClient client = testbed.client();
    client.requestStatus();
    router.pauseAfterRequest(testbed.client());
    client.sendRequest(1, "parts", LAG_MILLIS / 3, 0);
    Thread.sleep(LAG_MILLIS); // The request waits unread for longer than its allowance.
    router.resume();
    assertEquals("Overloaded", client.receive().error());
    client.sendRequest(2, "parts", ALLOWANCE_MILLIS, 0);
    assertEquals(PausingRouter.PAUSING_REQUEST_ID, cache.nextCommand().element(1));
    assertEquals("0000000000000002", cache.nextCommand().element(1));
  }

  /**
   * The router throws while it routes two requests of one turn. Guards against requests that get no
   * response, or that are still held afterwards.
   */
  @ParameterizedTest
  @ValueSource(strings = {"batch", "recursion", "assertion"})
  void requestIsAnsweredInTimeWhateverFailsInTheRouter(String failure) throws Exception {
    testbed.start(
        GatewayOptions.read(testbed.environment(folder)),
        (nowNanos, events, actions) -> {
          if (failure.equals("batch") && testbed.gateway.phase() == Gateway.Phase.SERVING) {
            throw new IllegalStateException("failed batch");
          }
          events.replayTo(
              PausingRouter.recordingHandler(
                  (name, arguments) -> {
                    if (name.equals("requestReceived")) {
                      throw failure.equals("recursion")
                          ? new StackOverflowError()
                          : new AssertionError("failed event");
                    }
                  }));
        });
    int heldBefore = testbed.gateway.resourceCount();
    TestClient client = testbed.client();
    List<String> logged = recordRoutingFailures();
    long allowanceMillis = 500;
    long sentAt = System.nanoTime();
    client.send(
        concat(
            TestClient.encodeRequest(
                1, "parts", TestClient.requestFields(1, allowanceMillis, 1), new byte[0]),
            TestClient.encodeRequest(
                2, "parts", TestClient.requestFields(2, allowanceMillis, 2), new byte[0])));
    for (int answer = 0; answer < 2; answer++) {
      assertNotNull(client.receive().error());
    }
    long tookMillis = (System.nanoTime() - sentAt) / 1_000_000;
    assertTrue(tookMillis < 10 * allowanceMillis, tookMillis + " ms");
    String expected =
        failure.equals("batch")
            ? "routing a batch of \\d+ events failed after 0 events; the requests of the others are"
                + " failed unless an attempt is in flight"
            : "routing an event of request 0000000000000001 failed; the other events of the batch"
                + " are still routed";
    assertTrue(logged.stream().anyMatch(line -> line.matches(expected)), logged.toString());
    assertTrue(client.requestStatus().isReady());
    client.close();
    Conditions.await(
        () -> testbed.gateway.resourceCount() <= heldBefore, "the requests are released");
  }

  /** Returns a list to which each message of the routing stage's log is added from now on. */
  private List<String> recordRoutingFailures() {
    List<String> messages = new CopyOnWriteArrayList<>();
    logHandler =
        new Handler() {
          @Override
          public void publish(LogRecord record) {
            messages.add(record.getMessage());
          }

          @Override
          public void flush() {}

          @Override
          public void close() {}
        };
    ROUTING_LOG.addHandler(logHandler);
    return messages;
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] joined = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, joined, first.length, second.length);
    return joined;
  }
}
