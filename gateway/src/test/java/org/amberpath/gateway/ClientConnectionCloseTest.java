package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.ClientConnections;
import org.amberpath.gateway.client.ClientHandler;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.gateway.client.WriteBufferAccounting;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.Conditions;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;
import org.amberpath.routing.ResponseBufferLimit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * However the gateway ends a client's connection: each request that was read gets a response, and a
 * request without a response was not read.
 */
@Timeout(30)
class ClientConnectionCloseTest implements ClientHandler {
  private static final int MAX_CONNECTIONS = 20;
  private static final int MAX_UNWRITTEN_BYTES = 1 << 20;
  private static final int MAX_PARTIAL_BYTES = 1 << 20;

  /** Number of requests that fill the kernel's buffers. */
  private static final int FLOOD_REQUESTS = 60_000;

  private static final long FLOOD_MILLIS = 200;

  /** A turn of the event loop handles a few dozen requests of one client. */
  private static final int MAX_READ_BEFORE_OTHERS = 1000;

  /** Number of the part whose body exceeds {@link #MAX_UNWRITTEN_BYTES}. */
  private static final int LARGE_PART = 13;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Clock clock = new Clock();
  private final ClientConnections clients =
      new ClientConnections(vertx, MAX_CONNECTIONS, clock::nowNanos);
  private final List<TestClient> testClients = new ArrayList<>();

  /** Maximum number of connections held at a time. */
  private final AtomicInteger maxHeldConnections = new AtomicInteger();

  /** Number of connections whose descriptor is open. */
  private final AtomicInteger heldConnections = new AtomicInteger();

  /** The reasons of protocol errors, as they are logged. */
  private final Queue<String> protocolErrors = new ConcurrentLinkedQueue<>();

  /** Number of requests read. */
  private final AtomicInteger requestsRead = new AtomicInteger();

  /** Number of status requests read, and that number when the latest other request was read. */
  private final AtomicInteger statusRead = new AtomicInteger();

  private final AtomicInteger statusReadBefore = new AtomicInteger();

  private Thread eventLoopThread;
  private int port;

  @BeforeEach
  void listen() throws Exception {
    WriteBufferAccounting accounting =
        new WriteBufferAccounting(new ResponseBufferLimit(MAX_UNWRITTEN_BYTES), clock::nowNanos);
    ReceiveBufferAccounting partialMessages = new ReceiveBufferAccounting(MAX_PARTIAL_BYTES);
    port =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  eventLoopThread = Thread.currentThread();
                  heldConnections.incrementAndGet();
                  clients.add(
                      new ClientConnection(
                          socket, accounting, partialMessages, clock::nowNanos, this));
                  maxHeldConnections.accumulateAndGet(clients.descriptorCount(), Math::max);
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS)
            .actualPort();
  }

  @AfterEach
  void close() throws Exception {
    for (TestClient one : testClients) {
      one.close();
    }
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @Override
  public boolean admitsRequest() {
    return true;
  }

  @Override
  public long retryAfterNanos() {
    return 0;
  }

  @Override
  public void requestReceived(ClientConnection connection, long messageId, DecodedRequest request) {
    requestsRead.incrementAndGet();
    statusReadBefore.set(statusRead.get());
    if (request.partNumber() == LARGE_PART) {
      connection.sendBody(messageId, Buffer.buffer(new byte[2 * MAX_UNWRITTEN_BYTES]));
    }
    connection.sendNotModified(messageId);
  }

  @Override
  public void requestShed(ClientConnection connection, String reason) {
    protocolErrors.add(reason);
  }

  @Override
  public void requestCancelled(ClientConnection connection, long messageId) {}

  @Override
  public boolean isReady() {
    statusRead.incrementAndGet();
    return true;
  }

  @Override
  public void protocolViolated(ClientConnection connection, String reason) {
    protocolErrors.add(reason);
  }

  @Override
  public void connectionEnded(ClientConnection connection) {
    clients.remove(connection);
  }

  @Override
  public void descriptorReleased(ClientConnection connection) {
    clients.descriptorReleased(connection);
    heldConnections.decrementAndGet();
  }

  private TestClient client() throws IOException {
    TestClient client = new TestClient(port);
    testClients.add(client);
    return client;
  }

  private void runOnEventLoop(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    vertx.runOnContext(
        turn -> {
          task.run();
          done.countDown();
        });
    assertTrue(done.await(10, TimeUnit.SECONDS));
  }

  private void awaitHeldAtMost(int count) throws InterruptedException {
    Conditions.await(() -> heldConnections.get() <= count, "connections are closed");
    // The JDK closes a descriptor in the next select call.
    CountDownLatch selected = new CountDownLatch(1);
    vertx.runOnContext(turn -> vertx.setTimer(20, later -> selected.countDown()));
    await(selected);
  }

  private static byte[] encodePartRequest(int number) throws IOException {
    return TestClient.encodeRequest(
        number, "parts", TestClient.requestFields(number, 1500, 0), new byte[0]);
  }

  private static byte[] bytes(String hex, byte[]... messages) throws IOException {
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    stream.write(HexFormat.of().parseHex(hex));
    for (byte[] one : messages) {
      stream.write(one);
    }
    return stream.toByteArray();
  }

  /** Guards against responses that come late while one client's requests keep the event loop. */
  @Test
  void requestIsReadBeforeAFloodThatArrivedEarlier() throws Exception {
    TestClient flooding = client();
    TestClient other = client();
    assertTrue(flooding.requestStatus().isReady());
    assertTrue(other.requestStatus().isReady());
    byte[] status = TestClient.encodeRequest(1, "status", Map.of(), null);
    byte[] flood = new byte[FLOOD_REQUESTS * status.length];
    for (int number = 0; number < FLOOD_REQUESTS; number++) {
      System.arraycopy(status, 0, flood, number * status.length, status.length);
    }
    CountDownLatch resume = new CountDownLatch(1);
    CountDownLatch stopped = new CountDownLatch(1);
    vertx.runOnContext(
        turn -> {
          stopped.countDown();
          await(resume);
        });
    await(stopped);
    Thread sending = new Thread(() -> sendUntilClosed(flooding, flood));
    sending.start();
    Thread.sleep(FLOOD_MILLIS); // The flood arrives while the event loop lags.

    other.send(encodePartRequest(1));
    resume.countDown();

    assertEquals(1, other.receive().messageId());
    assertTrue(statusReadBefore.get() < MAX_READ_BEFORE_OTHERS, statusReadBefore.toString());
    flooding.close();
    sending.join();
  }

  private static void sendUntilClosed(TestClient client, byte[] bytes) {
    try {
      client.send(bytes);
    } catch (IOException e) {
      // Expected at the end of the test.
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"c0", "93020000", "9502c0c0c0c0", "940001c0c0"})
  void requestsReceivedWithAnInvalidMessageGetAnErrorEach(String invalidMessage) throws Exception {
    TestClient client =
        client().send(bytes(invalidMessage + "c0", encodePartRequest(5), encodePartRequest(6)));
    List<Long> failedIds = new ArrayList<>();
    for (ClientAnswer answer = client.receive();
        answer.messageId() != 6;
        answer = client.receive()) {
      assertEquals("Internal", answer.error());
      failedIds.add(answer.messageId());
    }
    assertTrue(failedIds.contains(5L), failedIds.toString());
    assertTrue(client.isClosed());
    assertEquals(0, requestsRead.get());
  }

  /** Ways in which the gateway ends a connection without requests in flight. */
  private enum Ending {
    INVALID_MESSAGE,
    EVICTED,
    SHUTDOWN,
    ACCEPTED_AFTER_SHUTDOWN
  }

  @ParameterizedTest
  @EnumSource
  void requestsAfterTheEndOfAConnectionAreNotRead(Ending ending) throws Exception {
    TestClient client = client();
    if (ending == Ending.ACCEPTED_AFTER_SHUTDOWN) {
      runOnEventLoop(clients::halfCloseAll);
    } else {
      client.send(encodePartRequest(1)).receive();
    }
    int expectedRequestsRead = requestsRead.get();
    switch (ending) {
      case INVALID_MESSAGE -> client.send(bytes("c1"));
      case EVICTED -> {
        for (int more = 0; more < MAX_CONNECTIONS; more++) {
          client().send(encodePartRequest(2)).receive();
        }
        expectedRequestsRead += MAX_CONNECTIONS;
      }
      case SHUTDOWN -> runOnEventLoop(clients::halfCloseAll);
      default -> client = client();
    }
    assertTrue(client.isClosed());
    client.send(
        encodePartRequest(3)); // Sent before the client knows that the connection has ended.
    awaitHeldAtMost(ending == Ending.EVICTED ? MAX_CONNECTIONS : 0);
    TestClient endedClient = client;
    assertThrows(
        IOException.class,
        () -> endedClient.send(encodePartRequest(4)),
        "a request was read after the end");
    assertEquals(expectedRequestsRead, requestsRead.get());
  }

  @Test
  void invalidRequestIsAnsweredWithItsReasonAndLoggedWithADetail() throws Exception {
    TestClient client = client().send(bytes("940005a57061727473c0"));
    assertEquals("not fields and a body", client.receive().fields().get("why"));
    assertEquals(
        List.of(
            "request 5: not fields and a body: parameters: got NIL, expected ARRAY of 1 or 2:"
                + " fields, optionally a body; all further requests on this connection fail"),
        List.copyOf(protocolErrors));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "9400ff|message id: got -1, expected 0 to 4294967295",
        "c1|message: could not be handled: org.msgpack.core.MessageFormatException:"
            + " Cannot convert NEVER_USED to ValueType",
      })
  void protocolErrorIsLoggedWithWhatWasFoundAndExpected(String hex, String reason)
      throws Exception {
    TestClient client = client().send(bytes(hex + "c0c0"));
    assertTrue(client.isClosed());
    assertEquals(1, protocolErrors.size());
    String logged = protocolErrors.remove();
    assertTrue(logged.startsWith(reason) && logged.endsWith("; connection closed"), logged);
  }

  @ParameterizedTest
  @CsvSource({"'', nothing", "94, only a part"})
  void missingMessageIsLoggedWithTheTimeout(String hex, String received) throws Exception {
    TestClient client = client().send(bytes(hex));
    Conditions.await(() -> heldConnections.get() == 1, "the connection is accepted");
    Thread.sleep(2100); // Longer than the timeout for a complete message.
    runOnEventLoop(clients::sweep);
    assertTrue(client.isClosed());
    assertEquals(
        List.of(
            "message: "
                + received
                + " received, expected a complete message within 2000 ms; connection closed"),
        List.copyOf(protocolErrors));
  }

  @Test
  void responseAboveTheMemoryForUnwrittenBytesIsFailedAndLoggedWithItsLength() throws Exception {
    Map<String, String> fields = TestClient.requestFields(5, 1500, LARGE_PART);
    TestClient client = client().send(TestClient.encodeRequest(5, "parts", fields, null));
    assertEquals("Internal", client.receive().error());
    assertEquals(
        List.of("reads too slowly: response of 2097152 bytes not sent, 0 bytes unwritten"),
        List.copyOf(protocolErrors));
    assertTrue(client.requestStatus().isReady());
  }

  @Test
  void burstOfNewConnectionsStaysWithinTheBoundAndLosesNoResponse() throws Exception {
    for (int one = 0; one < 3 * MAX_CONNECTIONS; one++) {
      TestClient client =
          client().send(TestClient.encodeRequest(9, "status", java.util.Map.of(), null));
      // The response has arrived and is not read yet.
      Conditions.await(() -> hasUnread(client), "an answer");
    }
    for (TestClient one : testClients) {
      assertTrue(one.receive().isReady());
    }
    awaitHeldAtMost(MAX_CONNECTIONS);
    assertTrue(
        maxHeldConnections.get() <= MAX_CONNECTIONS + ClientConnections.SPARE_CONNECTIONS,
        "held " + maxHeldConnections);
  }

  private static boolean hasUnread(TestClient client) {
    try {
      return client.socket.getInputStream().available() > 0;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void halfClosedConnectionWithUnreadBytesKeepsTheEventLoopIdle(boolean clientShutsDownOutput)
      throws Exception {
    TestClient client = client();
    client.send(encodePartRequest(1)).receive();
    client.send(bytes("c1"));
    assertTrue(client.isClosed());
    client.send(new byte[10_000]);
    if (clientShutsDownOutput) {
      client.socket.shutdownOutput();
    }
    long startNanos = System.nanoTime();
    long cpuNanosBefore =
        ManagementFactory.getThreadMXBean().getThreadCpuTime(eventLoopThread.getId());
    awaitHeldAtMost(0); // The connection is closed although its bytes are not read.
    long cpuNanos =
        ManagementFactory.getThreadMXBean().getThreadCpuTime(eventLoopThread.getId())
            - cpuNanosBefore;
    long elapsedNanos = System.nanoTime() - startNanos;
    assertTrue(
        cpuNanos < elapsedNanos / 2,
        "busy for " + cpuNanos / 1_000_000 + " of " + elapsedNanos / 1_000_000 + " ms");
  }
}
