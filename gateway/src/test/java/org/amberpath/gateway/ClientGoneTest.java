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
class ClientGoneTest {
  private static final long GONE_MS = 300;
  private static final long PATIENCE_S = 20;
  private static final int PIPELINE = 32;

  @TempDir private Path folder;
  private GatewayTestbed testbed;
  private StubCache cache;

  @BeforeEach
  void start() throws Exception {
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
  }

  @AfterEach
  void end() throws Exception {
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
  void afterEventLoopLagNoPipelinedRequestOfADisconnectedClientIsSent(String how, int bytes)
      throws Exception {
    PausingRouter decisions =
        new PausingRouter(
            new org.amberpath.routing.RequestRouter(options().routingConfig())::decide);
    testbed.start(options(), decisions);
    TestClient client = testbed.client();
    assertTrue(client.requestStatus().isReady());
    decisions.pauseAfterRequest(testbed.client());
    ByteArrayOutputStream pipeline = new ByteArrayOutputStream();
    for (int number = 1; number <= PIPELINE; number++) {
      pipeline.writeBytes(
          TestClient.encodeRequest(
              number, "parts", TestClient.requestFields(number, 15_000, number), new byte[bytes]));
    }
    for (int number = 1; number <= PIPELINE && how.equals("withdraw"); number++) {
      pipeline.writeBytes(TestClient.encodeCancel(number));
    }
    var written =
        testbed.threads.submit(
            () -> {
              client.send(pipeline.toByteArray());
              if (how.equals("reset")) {
                client.socket.setSoLinger(true, 0);
              }
              if (!how.equals("withdraw")) {
                client.close();
              }
              return null;
            });
    Thread.sleep(GONE_MS); // Lets the event loop lag.
    decisions.resume();
    written.get(PATIENCE_S, TimeUnit.SECONDS);
    Set<String> sent = ConcurrentHashMap.newKeySet();
    testbed.runInBackground(
        () -> {
          while (true) {
            ReceivedCommand command = cache.commands.take();
            sent.add(command.element(1));
            command.replyOk("part");
          }
        });
    // Its request is sent after all earlier ones, unless it is rejected by load shedding.
    TestClient last = testbed.client();
    int number = PIPELINE;
    do {
      last.sendRequest(++number, "parts", 15_000, 0);
    } while (last.receive().error() != null);
    for (int left = 1; left <= PIPELINE; left++) {
      assertFalse(sent.contains(String.format("%016x", left)), "sent " + sent);
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
    PausingRouter pause = new PausingRouter(null);
    testbed.start(
        options(),
        (now, in, to) ->
            in.replayTo(
                PausingRouter.recordingHandler(
                    (name, arguments) -> {
                      if (name.equals("attemptEnded")) {
                        outcomes.add(((AttemptResult) arguments[0]).outcome());
                      }
                      boolean begins =
                          name.equals("requestReceived")
                              || (name.equals("attemptEnded")
                                  && ((AttemptResult) arguments[0]).attempt() == 0);
                      if (name.equals(event) && begins) {
                        pause.pauseUntilResumed();
                      }
                      if (begins) {
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
    pause.awaitPaused();
    client.close();
    Thread.sleep(GONE_MS); // Lets the event loop lag.
    pause.resume();
    assertEquals(
        event.equals("requestReceived") ? AttemptOutcome.NOT_SENT : AttemptOutcome.REJECTED,
        outcomes.poll(PATIENCE_S, TimeUnit.SECONDS));
    assertEquals(AttemptOutcome.NOT_SENT, outcomes.poll(PATIENCE_S, TimeUnit.SECONDS));
    assertNull(cache.commands.poll());
  }
}
