package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * However the gateway ends a client's connection: each request that was read gets a response, and a
 * request without a response was not read.
 */
@Timeout(30)
class ClientConnectionEndingsTest implements ClientHandler {
  private static final int MAX_CONNECTIONS = 20;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Clock clock = new Clock();
  private final ClientConnections clients =
      new ClientConnections(vertx, MAX_CONNECTIONS, clock::nowNanos);
  private final List<TestClient> all = new ArrayList<>();

  /** Maximum number of connections held at a time. */
  private final AtomicInteger maxHeld = new AtomicInteger();

  /** Number of connections whose descriptor is open. */
  private final AtomicInteger held = new AtomicInteger();

  /** Number of requests read. */
  private final AtomicInteger read = new AtomicInteger();

  private Thread loop;
  private int port;

  @BeforeEach
  void listen() throws Exception {
    WriteBufferAccounting queues = new WriteBufferAccounting(1 << 20, 1 << 20);
    port =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  loop = Thread.currentThread();
                  held.incrementAndGet();
                  clients.add(new ClientConnection(socket, queues, clock::nowNanos, this));
                  maxHeld.accumulateAndGet(clients.size(), Math::max);
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS)
            .actualPort();
  }

  @AfterEach
  void close() throws Exception {
    for (TestClient one : all) {
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
  public void requestReceived(ClientConnection from, long number, DecodedRequest get) {
    read.incrementAndGet();
    from.sendNotModified(number);
  }

  @Override
  public void requestCancelled(ClientConnection from, long number) {}

  @Override
  public boolean isReady() {
    return true;
  }

  @Override
  public void protocolViolated(ClientConnection from, String why) {}

  @Override
  public void connectionEnded(ClientConnection from) {
    clients.remove(from);
  }

  @Override
  public void descriptorReleased(ClientConnection from) {
    clients.released(from);
    held.decrementAndGet();
  }

  private TestClient client() throws IOException {
    TestClient client = new TestClient(port);
    all.add(client);
    return client;
  }

  private void onLoop(Runnable what) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    vertx.runOnContext(
        turn -> {
          what.run();
          done.countDown();
        });
    assertTrue(done.await(10, TimeUnit.SECONDS));
  }

  private void awaitHeld(int count) throws InterruptedException {
    Conditions.await(() -> held.get() <= count, "connections are closed");
    // The JDK closes a descriptor in the next select call.
    CountDownLatch selected = new CountDownLatch(1);
    vertx.runOnContext(turn -> vertx.setTimer(20, later -> selected.countDown()));
    await(selected);
  }

  private static byte[] get(int number) throws IOException {
    return TestClient.encodeRequest(
        number, "parts", TestClient.requestFields(number, 1500, 0), new byte[0]);
  }

  private static byte[] bytes(String hex, byte[]... behind) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(HexFormat.of().parseHex(hex));
    for (byte[] one : behind) {
      all.write(one);
    }
    return all.toByteArray();
  }

  @ParameterizedTest
  @ValueSource(strings = {"c0", "93020000", "9502c0c0c0c0", "940001c0c0"})
  void requestsReceivedWithAnInvalidMessageGetAnErrorEach(String first) throws Exception {
    TestClient client = client().send(bytes(first + "c0", get(5), get(6)));
    List<Long> errors = new ArrayList<>();
    for (ClientAnswer answer = client.receive();
        answer.messageId() != 6;
        answer = client.receive()) {
      assertEquals("Internal", answer.error());
      errors.add(answer.messageId());
    }
    assertTrue(errors.contains(5L), errors.toString());
    assertTrue(client.isClosed());
    assertEquals(0, read.get());
  }

  /** Ways in which the gateway ends a connection without requests in flight. */
  private enum End {
    UNREADABLE,
    PAST_THE_BOUND,
    STOPPED,
    NEW_WHEN_STOPPED
  }

  @ParameterizedTest
  @EnumSource
  void requestsAfterTheEndStayUnread(End end) throws Exception {
    TestClient client = client();
    if (end == End.NEW_WHEN_STOPPED) {
      onLoop(clients::end);
    } else {
      client.send(get(1)).receive();
    }
    int before = read.get();
    switch (end) {
      case UNREADABLE -> client.send(bytes("c1"));
      case PAST_THE_BOUND -> {
        for (int more = 0; more < MAX_CONNECTIONS; more++) {
          client().send(get(2)).receive();
        }
        before += MAX_CONNECTIONS;
      }
      case STOPPED -> onLoop(clients::end);
      default -> client = client();
    }
    assertTrue(client.isClosed());
    client.send(get(3)); // Sent before the client knows that the connection has ended.
    awaitHeld(end == End.PAST_THE_BOUND ? MAX_CONNECTIONS : 0);
    TestClient ended = client;
    assertThrows(IOException.class, () -> ended.send(get(4)), "a request was read after the end");
    assertEquals(before, read.get());
  }

  @Test
  void burstOfNewConnectionsStaysWithinTheBoundAndLosesNoResponse() throws Exception {
    for (int one = 0; one < 3 * MAX_CONNECTIONS; one++) {
      TestClient client =
          client().send(TestClient.encodeRequest(9, "status", java.util.Map.of(), null));
      // The response has arrived and is not read yet.
      Conditions.await(() -> hasUnread(client), "an answer");
    }
    for (TestClient one : all) {
      assertTrue(one.receive().isReady());
    }
    awaitHeld(MAX_CONNECTIONS);
    assertTrue(
        maxHeld.get() <= MAX_CONNECTIONS + ClientConnections.SPARE_CONNECTIONS, "held " + maxHeld);
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
  void halfClosedConnectionThatIsNotReadKeepsNoEventLoopBusy(boolean clientEndsToo)
      throws Exception {
    TestClient client = client();
    client.send(get(1)).receive();
    client.send(bytes("c1"));
    assertTrue(client.isClosed());
    client.send(new byte[10_000]);
    if (clientEndsToo) {
      client.socket.shutdownOutput();
    }
    long since = System.nanoTime();
    long before = ManagementFactory.getThreadMXBean().getThreadCpuTime(loop.getId());
    awaitHeld(0); // The connection is closed although its bytes are not read.
    long busy = ManagementFactory.getThreadMXBean().getThreadCpuTime(loop.getId()) - before;
    long tookNanos = System.nanoTime() - since;
    assertTrue(
        busy < tookNanos / 2,
        "busy for " + busy / 1_000_000 + " of " + tookNanos / 1_000_000 + " ms");
  }
}
