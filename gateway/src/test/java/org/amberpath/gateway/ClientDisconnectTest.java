package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.PausingRouter;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.RequestDetails;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against attempts for disconnected clients: a client closes its connection or cancels its
 * requests while the event loop is delayed, and the gateway reads the requests before it reads the
 * close or the cancellation.
 */
@Timeout(60)
class ClientDisconnectTest {
  private static final long EVENT_LOOP_LAG_MILLIS = 300;
  private static final long TIMEOUT_SECONDS = 20;
  private static final int PIPELINED_REQUESTS = 32;

  @TempDir private Path folder;
  private GatewayTestbed testbed;
  private StubCache cache;

  @BeforeEach
  void startCache() throws Exception {
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
  }

  @AfterEach
  void closeTestbed() throws Exception {
    testbed.close();
  }

  /** Settings under which endpoint lists may be far older than a client's close. */
  private GatewayOptions options() throws IOException {
    return GatewayOptions.read(
        testbed.environment(
            folder,
            "\"guarantees\":{",
            "\"guarantees\":{\"drain-grace-s\":20,",
            "\"family-info\":{",
            "\"family-info\":{\"heed-within-s\":20,"));
  }

  @ParameterizedTest
  @CsvSource({"close, 0", "reset, 0", "withdraw, 0", "close, 60000", "withdraw, 60000"})
  void afterEventLoopLagNoPipelinedRequestOfADisconnectedClientIsSent(String ending, int bodyBytes)
      throws Exception {
    PausingRouter router =
        new PausingRouter(
            new org.amberpath.routing.RequestRouter(options().routingConfig())::decide);
    testbed.start(options(), router);
    TestClient client = testbed.client();
    assertTrue(client.requestStatus().isReady());
    router.pauseAfterRequest(testbed.client());
    ByteArrayOutputStream pipeline = new ByteArrayOutputStream();
    for (int number = 1; number <= PIPELINED_REQUESTS; number++) {
      pipeline.writeBytes(
          TestClient.encodeRequest(
              number,
              "parts",
              TestClient.requestFields(number, 15_000, number),
              new byte[bodyBytes]));
    }
    for (int number = 1; number <= PIPELINED_REQUESTS && ending.equals("withdraw"); number++) {
      pipeline.writeBytes(TestClient.encodeCancel(number));
    }
    var writing =
        testbed.executor.submit(
            () -> {
              client.send(pipeline.toByteArray());
              if (ending.equals("reset")) {
                client.socket.setSoLinger(true, 0);
              }
              if (!ending.equals("withdraw")) {
                client.close();
              }
              return null;
            });
    Thread.sleep(EVENT_LOOP_LAG_MILLIS); // Lets the event loop lag.
    router.resume();
    writing.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    Set<String> sentIds = ConcurrentHashMap.newKeySet();
    testbed.runInBackground(
        () -> {
          while (true) {
            ReceivedCommand command = cache.commands.take();
            sentIds.add(command.element(1));
            command.replyOk("part");
          }
        });
    // Its request is sent after all earlier ones, unless it is rejected by load shedding.
    TestClient lastClient = testbed.client();
    int number = PIPELINED_REQUESTS;
    do {
      lastClient.sendRequest(++number, "parts", 15_000, 0);
    } while (lastClient.receive().error() != null);
    for (int requestNumber = 1; requestNumber <= PIPELINED_REQUESTS; requestNumber++) {
      assertFalse(
          sentIds.contains(String.format("%016x", requestNumber)),
          "sent for a disconnected client: " + sentIds);
    }
  }

  /**
   * The client of the last attempt disconnects during a long batch of routing decisions. Neither a
   * first attempt nor a retry is sent before the sockets are read again.
   */
  @ParameterizedTest
  @ValueSource(strings = {"requestReceived", "attemptEnded"})
  void attemptAtTheEndOfALongBatchWaitsUntilTheSocketsAreRead(String event) throws Exception {
    BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    PausingRouter pausingRouter = new PausingRouter(null);
    testbed.start(
        options(),
        (now, in, to) ->
            in.replayTo(
                PausingRouter.recordingHandler(
                    (name, arguments) -> {
                      if (name.equals("attemptEnded")) {
                        outcomes.add(((AttemptResult) arguments[0]).outcome());
                      }
                      boolean startsAttempt =
                          name.equals("requestReceived")
                              || (name.equals("attemptEnded")
                                  && ((AttemptResult) arguments[0]).attempt() == 0);
                      if (name.equals(event) && startsAttempt) {
                        pausingRouter.pauseUntilResumed();
                      }
                      if (startsAttempt) {
                        long id =
                            name.equals("requestReceived")
                                ? ((RequestDetails) arguments[0]).id()
                                : ((AttemptResult) arguments[0]).requestId();
                        to.sendAttempt(new AttemptCommand(id, 0, 0, 0, 0, 0, 0));
                      }
                    })));
    TestClient client = testbed.client();
    client.sendRequest(1, "parts", 15_000, 0);
    if (event.equals("attemptEnded")) {
      cache.nextCommand().reply("refused", "-", new byte[0]);
    }
    pausingRouter.awaitPaused();
    client.close();
    Thread.sleep(EVENT_LOOP_LAG_MILLIS); // Lets the event loop lag.
    pausingRouter.resume();
    assertEquals(
        event.equals("requestReceived") ? AttemptOutcome.NOT_SENT : AttemptOutcome.REJECTED,
        outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertEquals(AttemptOutcome.NOT_SENT, outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertNull(cache.commands.poll());
  }
}
