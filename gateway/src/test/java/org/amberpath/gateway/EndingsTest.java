package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RoutingEventHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests connections, requests, shutdowns and reads that end while a response or an event is still
 * pending (docs/design/endings.md).
 */
@Timeout(30)
class EndingsTest {
  private static final long TIMEOUT_MILLIS = 5000;

  @TempDir private Path folder;
  private GatewayTestbed testbed;

  @BeforeEach
  void start() throws Exception {
    testbed = new GatewayTestbed();
  }

  @AfterEach
  void end() throws Exception {
    testbed.close();
  }

  private static String text(ClientAnswer answer) {
    return new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8);
  }

  @Test
  void pendingResponseIsWrittenBeforeAConnectionWithUnreadBytesIsClosed() throws Exception {
    StubCache cache = testbed.start(folder);
    Socket slowSocket = new Socket();
    slowSocket.setReceiveBufferSize(4096);
    slowSocket.connect(new InetSocketAddress(GatewayTestbed.LOOPBACK, testbed.gateway.port()));
    try (TestClient client = new TestClient(slowSocket)) {
      client.sendRequest(1, "parts", 4000, 0);
      String part = "p".repeat(60_000);
      cache.nextCommand().replyOk(part);
      byte[] invalidBytes = new byte[200_000];
      Arrays.fill(invalidBytes, (byte) 0xc1);
      Thread.sleep(100); // Lets the gateway write as much of the response as the client accepts.
      client.send(invalidBytes);
      assertEquals(part, text(client.receive()));
      assertTrue(client.isClosed());
    }
  }

  @Test
  void requestReceivedBeforeTheGatewayServesIsAnsweredAtShutdown() throws Exception {
    StubCache cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    // The journal does not reply, so the gateway makes no routing decisions yet.
    testbed.journal.replyOverride = "";
    testbed.gateway = new Gateway(testbed.vertx, options);
    testbed.gateway.start();
    assertNotNull(testbed.journal.polls.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    TestClient client = testbed.client();
    client.sendRequest(1, "parts", 700, 0);
    Thread.sleep(50); // Lets the gateway read the request.
    assertEquals(Gateway.Phase.STARTING, testbed.gateway.phase());
    var stopped = testbed.gateway.stop().toCompletionStage().toCompletableFuture();
    assertNotNull(client.receive().error());
    stopped.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Test
  void partiallyReceivedRequestIsAnsweredDuringAShutdown() throws Exception {
    StubCache cache = testbed.start(folder);
    TestClient client = testbed.client();
    assertTrue(client.requestStatus().isReady());
    byte[] request =
        TestClient.encodeRequest(1, "parts", TestClient.requestFields(1, 1500, 0), new byte[300]);
    client.send(Arrays.copyOf(request, 100));
    testbed.gateway.stop();
    Thread.sleep(1000); // New requests are rejected from 750 ms after the stop on.
    client.send(Arrays.copyOfRange(request, 100, request.length));
    cache.nextCommand().replyOk("complete request");
    assertEquals("complete request", text(client.receive()));
    assertTrue(client.isClosed());
  }

  @Test
  void partialReplyWithoutACommandDoesNotCorruptTheNextReply() throws Exception {
    StubCache cache = testbed.start(folder);
    TestClient client = testbed.client();
    client.sendRequest(1, "orders", 4000, 0);
    ReceivedCommand first = cache.nextCommand();
    first.replyOk("first");
    assertEquals("first", text(client.receive()));
    first
        .socket()
        .getOutputStream()
        .write("*4\r\n$16\r\n00000000".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    Thread.sleep(100); // Lets the gateway read the partial reply, which no event reports.
    client.sendRequest(2, "orders", 4000, 0);
    cache.nextCommand().replyOk("second");
    assertEquals("second", text(client.receive()));
  }

  @Test
  void eventLoopReadsAgainAfterABatchOfMaximumSize() throws Exception {
    StubCache cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    BlockingQueue<Integer> batchSizes = new LinkedBlockingQueue<>();
    testbed.start(
        GatewayOptions.read(testbed.environment(folder)),
        (nowNanos, events, actions) -> {
          int[] requestCount = new int[1];
          events.replayTo(
              recordingHandler(
                  (event, arguments) -> {
                    if (event.equals("requestReceived")
                        && requestCount[0]++ == 0
                        && ((RequestDetails) arguments[0]).id() == 1) {
                      blockEventLoop();
                    }
                  }));
          batchSizes.add(requestCount[0]);
        });
    TestClient[] clients = {testbed.client(), testbed.client()};
    clients[0].sendRequest(1, "parts", 4000, 1);
    Thread.sleep(BLOCK_MILLIS / 4); // Lets the gateway's event loop block in the first request.
    for (int number = 2; number <= 48; number++) { // The limit "max-open" of the testbed.
      clients[number % 2].sendRequest(number, "parts", 4000, number);
    }
    for (int routed = 0; routed < 48; ) {
      int batchSize = batchSizes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(batchSize <= 32, "batch of " + batchSize + " requests");
      routed += batchSize;
    }
  }

  @Test
  void unreadTimeIsSubtractedFromTheDeadlineOfARequest() throws Exception {
    StubCache cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    BlockingQueue<Long> timesLeftMillis = new LinkedBlockingQueue<>();
    testbed.start(
        GatewayOptions.read(testbed.environment(folder)),
        (nowNanos, events, actions) ->
            events.replayTo(
                recordingHandler(
                    (event, arguments) -> {
                      if (event.equals("requestReceived")) {
                        timesLeftMillis.add(
                            ((RequestDetails) arguments[0]).timeLeftNanos() / 1_000_000);
                        if (timesLeftMillis.size() == 1) {
                          blockEventLoop();
                        }
                      }
                    })));
    testbed.client().sendRequest(1, "parts", 4000, 1);
    Thread.sleep(BLOCK_MILLIS / 4); // Lets the gateway's event loop block in the first request.
    testbed.client().sendRequest(2, "parts", 4000, 2);
    TestClient expiredClient = testbed.client().sendRequest(3, "parts", 900, 3);
    assertTrue(timesLeftMillis.take() > 3000);
    long secondTimeLeft = timesLeftMillis.take();
    assertTrue(
        secondTimeLeft < 4000 - BLOCK_MILLIS * 3 / 4 + 150,
        secondTimeLeft + " ms"); // The request waited unread while the event loop was blocked.
    assertTrue(secondTimeLeft > 4000 - 2 * BLOCK_MILLIS, secondTimeLeft + " ms");
    assertEquals(
        "Overloaded", expiredClient.receive().error()); // Its deadline has passed, or may have.
  }

  @Test
  void configurationThatCannotBeReadIsReadAgain() throws Exception {
    testbed.start(folder);
    try (GatewayTestbed other = new GatewayTestbed()) {
      GatewayOptions newOptions = GatewayOptions.read(other.environment(folder));
      AtomicInteger readAttempts = new AtomicInteger();
      testbed.gateway.reload(
          () -> {
            if (readAttempts.incrementAndGet() <= 2) {
              throw new InvalidSettingsException(
                  "", "", "", "PROXY_CONFIG: can\'t be read: too many open files");
            }
            return newOptions;
          });
      assertNotNull(other.journal.polls.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  @Test
  void truncatedJournalReplyIsPolledAgainFromTheSamePosition() throws Exception {
    testbed.start(folder);
    String earlierPoll;
    do { // Until a long poll has been open for 300 ms, so that 1 s or more of its wait is left.
      earlierPoll = testbed.journal.polls.poll(300, TimeUnit.MILLISECONDS);
    } while (earlierPoll != null);
    testbed.journal.truncateNextReply = true;
    testbed.journal.listEndpoint("c0", testbed.origin.address(), "box", "draining");
    String nextPoll = testbed.journal.polls.poll(1200, TimeUnit.MILLISECONDS);
    assertNotNull(nextPoll);
    assertTrue(nextPoll.startsWith("tail=2&"), nextPoll);
  }

  private static final long BLOCK_MILLIS = 1200;

  private static void blockEventLoop() {
    try {
      Thread.sleep(BLOCK_MILLIS); // Blocks the event loop.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static RoutingEventHandler recordingHandler(BiConsumer<String, Object[]> listener) {
    return (RoutingEventHandler)
        Proxy.newProxyInstance(
            EndingsTest.class.getClassLoader(),
            new Class<?>[] {RoutingEventHandler.class},
            (proxy, event, arguments) -> {
              listener.accept(event.getName(), arguments);
              return null;
            });
  }

  @Test
  void attemptPastItsLatestStartIsNeverSent() throws Exception {
    StubCache cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    testbed.start(
        GatewayOptions.read(testbed.environment(folder)),
        (nowNanos, events, actions) ->
            events.replayTo(
                recordingHandler(
                    (event, arguments) -> {
                      if (event.equals("requestReceived")) {
                        actions.limitRetryStart(((RequestDetails) arguments[0]).id(), nowNanos - 1);
                        actions.sendAttempt(
                            new AttemptCommand(
                                ((RequestDetails) arguments[0]).id(), 0, 0, 0, 0, 0, 0));
                      } else if (event.equals("attemptEnded")) {
                        outcomes.add(((AttemptResult) arguments[0]).outcome());
                      }
                    })));
    testbed.client().sendRequest(1, "parts", 4000, 0);
    assertEquals(AttemptOutcome.NOT_SENT, outcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    assertNull(cache.commands.poll());
  }
}
