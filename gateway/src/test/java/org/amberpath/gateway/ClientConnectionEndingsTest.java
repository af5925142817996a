package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.amberpath.gateway.StandIns.Client;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.ClientHandler;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.gateway.client.WriteBufferAccounting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * However a client's connection ends, what was read has an answer, and what has none stays unread.
 */
@Timeout(30)
class ClientConnectionEndingsTest implements ClientHandler {
  private static final int MOST = 20;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Clock clock = new Clock();
  private final ClientConnections clients = new ClientConnections(vertx, MOST, clock);
  private final List<Client> all = new ArrayList<>();

  /** How many connections were held at most, how many are, and how many requests were read. */
  private final AtomicInteger most = new AtomicInteger(),
      held = new AtomicInteger(),
      read = new AtomicInteger();

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
                  most.accumulateAndGet(clients.size(), Math::max);
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS)
            .actualPort();
  }

  @AfterEach
  void close() throws Exception {
    for (Client one : all) {
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

  private Client client() throws IOException {
    Client client = new Client(port);
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

  private void awaitHeld(int many) throws InterruptedException {
    while (held.get() > many) {
      Thread.sleep(5);
    }
    CountDownLatch selected =
        new CountDownLatch(1); // The runtime closes a descriptor when it selects the next time.
    vertx.runOnContext(turn -> vertx.setTimer(20, later -> selected.countDown()));
    await(selected);
  }

  private static byte[] get(int number) throws IOException {
    return Client.request(number, "parts", Client.fields(number, 1500, 0), new byte[0]);
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
  void requestsReadWithWhatCantBeUsedGetAnErrorEach(String first) throws Exception {
    Client client = client().send(bytes(first + "c0", get(5), get(6)));
    List<Long> errors = new ArrayList<>();
    for (StandIns.Answer answer = client.answer(); answer.number() != 6; answer = client.answer()) {
      assertEquals("Internal", answer.error());
      errors.add(answer.number());
    }
    assertTrue(errors.contains(5L), errors.toString());
    assertTrue(client.isClosed());
    assertEquals(0, read.get());
  }

  /** Ways in which a connection ends on which nothing is open. */
  private enum End {
    UNREADABLE,
    PAST_THE_BOUND,
    STOPPED,
    NEW_WHEN_STOPPED
  }

  @ParameterizedTest
  @EnumSource
  void whatComesAfterTheEndStaysUnread(End end) throws Exception {
    Client client = client();
    if (end == End.NEW_WHEN_STOPPED) {
      onLoop(clients::end);
    } else {
      client.send(get(1)).answer();
    }
    int before = read.get();
    switch (end) {
      case UNREADABLE -> client.send(bytes("c1"));
      case PAST_THE_BOUND -> {
        for (int more = 0; more < MOST; more++) {
          client().send(get(2)).answer();
        }
        before += MOST;
      }
      case STOPPED -> onLoop(clients::end);
      default -> client = client();
    }
    assertTrue(client.isClosed());
    client.send(get(3)); // It crossed the end.
    awaitHeld(end == End.PAST_THE_BOUND ? MOST : 0);
    Client ended = client;
    assertThrows(IOException.class, () -> ended.send(get(4)), "a request was read after the end");
    assertEquals(before, read.get());
  }

  @Test
  void aBurstOfNewConnectionsKeepsTheBoundAndTakesNoAnswerWithIt() throws Exception {
    for (int one = 0; one < 3 * MOST; one++) {
      Client client = client().send(Client.request(9, "status", java.util.Map.of(), null));
      while (client.socket.getInputStream().available() == 0) {
        Thread.sleep(1); // It is answered, and has not read that.
      }
    }
    for (Client one : all) {
      assertTrue(one.answer().status());
    }
    awaitHeld(MOST);
    assertTrue(most.get() <= MOST + ClientConnections.SPARE_CONNECTIONS, "held " + most);
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
  void aHalfClosedConnectionThatIsNotReadKeepsNoLoopBusy(boolean clientEndsToo) throws Exception {
    Client client = client();
    client.send(get(1)).answer();
    client.send(bytes("c1"));
    assertTrue(client.isClosed());
    client.send(new byte[10_000]);
    if (clientEndsToo) {
      client.socket.shutdownOutput();
    }
    long since = System.nanoTime(),
        before = ManagementFactory.getThreadMXBean().getThreadCpuTime(loop.getId());
    awaitHeld(0); // It is closed in time all the same.
    long busy = ManagementFactory.getThreadMXBean().getThreadCpuTime(loop.getId()) - before;
    long took = System.nanoTime() - since;
    assertTrue(busy < took / 2, "busy for " + busy / 1_000_000 + " of " + took / 1_000_000 + " ms");
  }
}
