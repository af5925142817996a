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
import java.util.concurrent.TimeUnit;
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
  private static final long LAG_MS = 900;
  private static final long TOLERANCE_MS = 150;
  private static final long ALLOWANCE_MS = 15_000;
  private static final long PATIENCE_S = 20;
  private static final int CONNECTIONS = 40;

  @TempDir private Path folder;
  private GatewayTestbed testbed;
  private StubCache cache;
  private Vertx oneLoop;

  @BeforeEach
  void start() throws Exception {
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
  }

  @AfterEach
  void end() throws Exception {
    if (oneLoop != null) {
      oneLoop.close().toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
    }
    testbed.close();
  }

  /**
   * Starts a gateway that accepts connections on its own event loop, as the server process does.
   */
  private void startOnOneLoop(BatchRouter decisions) throws Exception {
    oneLoop =
        Vertx.builder()
            .withTransport(SingleEventLoopTransport.transport())
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .build();
    testbed.gateway =
        new Gateway(
            oneLoop,
            GatewayOptions.read(testbed.environment(folder)),
            GatewayExtensions.NONE,
            decisions);
    testbed
        .gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(PATIENCE_S, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(strings = {"connected", "connecting", "half sent"})
  void afterEventLoopLagACommandStatesNoMoreTimeThanTheClientHas(String state) throws Exception {
    PausingRouter decisions =
        new PausingRouter(
            (now, in, to) ->
                in.replayTo(
                    PausingRouter.recordingHandler(
                        (name, arguments) -> {
                          // Sends one attempt for each request, without the router's limits.
                          if (name.equals("requestReceived")) {
                            to.sendAttempt(
                                new AttemptCommand(
                                    ((RequestDetails) arguments[0]).id(), 0, 0, 0, 0, 0, 0));
                          }
                        })));
    startOnOneLoop(decisions);
    byte[][] requests = new byte[CONNECTIONS][];
    for (int at = 0; at < CONNECTIONS; at++) {
      requests[at] =
          TestClient.encodeRequest(
              at + 1, "parts", TestClient.requestFields(at + 1, ALLOWANCE_MS, at + 1), new byte[0]);
    }
    List<TestClient> clients = new ArrayList<>();
    for (int at = 0; at < CONNECTIONS && !state.equals("connecting"); at++) {
      clients.add(testbed.client());
      clients.get(at).requestStatus();
      if (state.equals("half sent")) {
        clients.get(at).send(Arrays.copyOf(requests[at], requests[at].length / 2));
      }
    }
    decisions.pauseAfterRequest(testbed.client());
    for (int at = 0; at < CONNECTIONS; at++) {
      if (state.equals("connecting")) {
        clients.add(testbed.client());
      }
      int begun = state.equals("half sent") ? requests[at].length / 2 : 0;
      clients.get(at).send(Arrays.copyOfRange(requests[at], begun, requests[at].length));
    }
    long sentBy = System.nanoTime();
    Thread.sleep(LAG_MS); // The requests wait unread for this time.
    long most = ALLOWANCE_MS - (System.nanoTime() - sentBy) / 1_000_000 + TOLERANCE_MS;
    decisions.resume();
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
        (ref, left) -> assertTrue(left <= most, ref + " has " + left + " ms, of " + most));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 5})
  void requestWithHardlyAnyTimeLeftIsAnsweredOnceAndNeverSent(long allowance) throws Exception {
    testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
    TestClient client = testbed.client();
    client.sendRequest(1, "parts", allowance, 0);
    assertEquals("Overloaded", client.receive().error());
    assertTrue(client.requestStatus().isReady());
    client.sendRequest(2, "parts", ALLOWANCE_MS, 0);
    assertEquals("0000000000000002", cache.nextCommand().element(1));
  }

  @Test
  void requestThatExpiredBeforeItWasReadIsAnsweredAtOnceAndNeverSent() throws Exception {
    PausingRouter decisions =
        new PausingRouter(
            new RequestRouter(GatewayOptions.read(testbed.environment(folder)).routingConfig())
                ::decide);
    testbed.start(GatewayOptions.read(testbed.environment(folder)), decisions);
    TestClient client = testbed.client();
    client.requestStatus();
    decisions.pauseAfterRequest(testbed.client());
    client.sendRequest(1, "parts", LAG_MS / 3, 0);
    Thread.sleep(LAG_MS); // The request waits unread for longer than its allowance.
    decisions.resume();
    assertEquals("Overloaded", client.receive().error());
    client.sendRequest(2, "parts", ALLOWANCE_MS, 0);
    assertEquals(PausingRouter.PAUSING_REQUEST_ID, cache.nextCommand().element(1));
    assertEquals("0000000000000002", cache.nextCommand().element(1));
  }

  /**
   * The router throws while it routes two requests of one turn. Guards against requests that get no
   * response, or that are still held afterwards.
   */
  @ParameterizedTest
  @ValueSource(strings = {"round", "recursion", "assertion"})
  void requestIsAnsweredInTimeWhateverFailsInTheRouter(String trouble) throws Exception {
    testbed.start(
        GatewayOptions.read(testbed.environment(folder)),
        (now, in, to) -> {
          if (trouble.equals("round") && testbed.gateway.phase() == Gateway.Phase.SERVING) {
            throw new IllegalStateException("a round");
          }
          in.replayTo(
              PausingRouter.recordingHandler(
                  (name, arguments) -> {
                    if (name.equals("requestReceived")) {
                      throw trouble.equals("recursion")
                          ? new StackOverflowError()
                          : new AssertionError("an event");
                    }
                  }));
        });
    int held = testbed.gateway.resourceCount();
    TestClient client = testbed.client();
    long allowance = 500;
    long sent = System.nanoTime();
    client.send(
        concat(
            TestClient.encodeRequest(
                1, "parts", TestClient.requestFields(1, allowance, 1), new byte[0]),
            TestClient.encodeRequest(
                2, "parts", TestClient.requestFields(2, allowance, 2), new byte[0])));
    for (int answer = 0; answer < 2; answer++) {
      assertNotNull(client.receive().error());
    }
    long tookMillis = (System.nanoTime() - sent) / 1_000_000;
    assertTrue(tookMillis < 10 * allowance, tookMillis + " ms");
    assertTrue(client.requestStatus().isReady());
    client.close();
    Conditions.await(() -> testbed.gateway.resourceCount() <= held, "nothing is held any more");
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }
}
