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
import org.amberpath.gateway.StandIns.Cache;
import org.amberpath.gateway.StandIns.Client;
import org.amberpath.gateway.settings.InvalidSettingsException;
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

/** Stories of things that end while something is still owed (docs/design/endings.md). */
@Timeout(30)
class EndingsTest {
  private static final long PATIENCE_MS = 5000;

  @TempDir private Path folder;
  private StandIns world;

  @BeforeEach
  void start() throws Exception {
    world = new StandIns();
  }

  @AfterEach
  void end() throws Exception {
    world.close();
  }

  private static String text(StandIns.Answer answer) {
    return new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8);
  }

  @Test
  void anAnswerOnItsWayOutlivesTheEndOfAConnectionWithBytesUnread() throws Exception {
    Cache cache = world.start(folder);
    Socket slow = new Socket();
    slow.setReceiveBufferSize(4096);
    slow.connect(new InetSocketAddress(StandIns.LOOPBACK, world.gateway.port()));
    try (Client client = new Client(slow)) {
      client.get(1, "parts", 4000, 0);
      String part = "p".repeat(60_000);
      cache.next().ok(part);
      byte[] nonsense = new byte[200_000];
      Arrays.fill(nonsense, (byte) 0xc1);
      Thread.sleep(100); // The answer has left the gateway as far as the client reads.
      client.send(nonsense);
      assertEquals(part, text(client.answer()));
      assertTrue(client.isClosed());
    }
  }

  @Test
  void aGetTakenBeforeItWasReadyIsAnsweredWhenItIsToldToStop() throws Exception {
    Cache cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(world.environment(folder));
    world.journal.instead =
        ""; // What came since the start is not known, so nothing is decided yet.
    world.gateway = new Gateway(world.vertx, options);
    world.gateway.start();
    assertNotNull(world.journal.polls.poll(PATIENCE_MS, TimeUnit.MILLISECONDS));
    Client client = world.client();
    client.get(1, "parts", 700, 0);
    Thread.sleep(50);
    assertEquals(Gateway.Phase.STARTING, world.gateway.phase());
    var stopped = world.gateway.stop().toCompletionStage().toCompletableFuture();
    assertNotNull(client.answer().error());
    stopped.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
  }

  @Test
  void aGetOfWhichHalfHadComeWhenToldToStopIsAnswered() throws Exception {
    Cache cache = world.start(folder);
    Client client = world.client();
    assertTrue(client.status().status());
    byte[] get = Client.request(1, "parts", Client.fields(1, 1500, 0), new byte[300]);
    client.send(Arrays.copyOf(get, 100));
    world.gateway.stop();
    Thread.sleep(1000); // Clients that have sent all have had their time by then.
    client.send(Arrays.copyOfRange(get, 100, get.length));
    cache.next().ok("whole at last");
    assertEquals("whole at last", text(client.answer()));
    assertTrue(client.isClosed());
  }

  @Test
  void halfALineToNobodyDoesNotSpoilTheNextAnswer() throws Exception {
    Cache cache = world.start(folder);
    Client client = world.client();
    client.get(1, "orders", 4000, 0);
    StandIns.Command first = cache.next();
    first.ok("first");
    assertEquals("first", text(client.answer()));
    first
        .from()
        .getOutputStream()
        .write("*4\r\n$16\r\n00000000".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    Thread.sleep(100);
    client.get(2, "orders", 4000, 0);
    cache.next().ok("second");
    assertEquals("second", text(client.answer()));
  }

  @Test
  void theLoopReadsAgainBeforeItDecidesOnMoreThanOneClientMayAsk() throws Exception {
    Cache cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
    BlockingQueue<Integer> rounds = new LinkedBlockingQueue<>();
    world.start(
        GatewayOptions.read(world.environment(folder)),
        (now, in, to) -> {
          int[] gets = new int[1];
          in.replayTo(
              events(
                  (event, told) -> {
                    if (event.equals("requestReceived")
                        && gets[0]++ == 0
                        && ((RequestDetails) told[0]).id() == 1) {
                      stand();
                    }
                  }));
          rounds.add(gets[0]);
        });
    Client[] clients = {world.client(), world.client()};
    clients[0].get(1, "parts", 4000, 1);
    Thread.sleep(STANDS_MS / 4);
    for (int number = 2; number <= 48; number++) { // As many as may be open.
      clients[number % 2].get(number, "parts", 4000, number);
    }
    for (int seen = 0; seen < 48; ) {
      int round = rounds.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
      assertTrue(round <= 32, "a round of " + round);
      seen += round;
    }
  }

  @Test
  void whatWaitedUnreadHasNoMoreTimeThanItsClientAndHardlyLess() throws Exception {
    Cache cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
    BlockingQueue<Long> left = new LinkedBlockingQueue<>();
    world.start(
        GatewayOptions.read(world.environment(folder)),
        (now, in, to) ->
            in.replayTo(
                events(
                    (event, told) -> {
                      if (event.equals("requestReceived")) {
                        left.add(((RequestDetails) told[0]).timeLeftNanos() / 1_000_000);
                        if (left.size() == 1) {
                          stand();
                        }
                      }
                    })));
    world.client().get(1, "parts", 4000, 1);
    Thread.sleep(STANDS_MS / 4);
    world.client().get(2, "parts", 4000, 2);
    Client late = world.client().get(3, "parts", 900, 3);
    assertTrue(left.take() > 3000);
    long second = left.take();
    assertTrue(
        second < 4000 - STANDS_MS * 3 / 4 + 150,
        second + " ms"); // Its client has waited for so long.
    assertTrue(second > 4000 - 2 * STANDS_MS, second + " ms");
    assertEquals("Overloaded", late.answer().error()); // Its time was over, or may have been.
  }

  @Test
  void aConfigurationThatCantBeReadJustNowIsReadAgain() throws Exception {
    world.start(folder);
    try (StandIns other = new StandIns()) {
      GatewayOptions next = GatewayOptions.read(other.environment(folder));
      AtomicInteger readings = new AtomicInteger();
      world.gateway.reload(
          () -> {
            if (readings.incrementAndGet() <= 2) {
              throw new InvalidSettingsException(
                  "", "", "", "PROXY_CONFIG: can\'t be read: too many open files");
            }
            return next;
          });
      assertNotNull(other.journal.polls.poll(PATIENCE_MS, TimeUnit.MILLISECONDS));
    }
  }

  @Test
  void newsThatStopsShortIsAskedForAgainBeforeItCountsAsTold() throws Exception {
    world.start(folder);
    while (world.journal.polls.poll(300, TimeUnit.MILLISECONDS) != null) {
      continue; // Now one is open, with a second and more of its wait left.
    }
    world.journal.stopsShort = true;
    world.journal.host("c0", world.origin.address(), "box", "draining");
    String again = world.journal.polls.poll(1200, TimeUnit.MILLISECONDS);
    assertNotNull(again);
    assertTrue(again.startsWith("tail=2&"), again);
  }

  private static final long STANDS_MS = 1200;

  private static void stand() {
    try {
      Thread.sleep(STANDS_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static RoutingEventHandler events(BiConsumer<String, Object[]> hear) {
    return (RoutingEventHandler)
        Proxy.newProxyInstance(
            EndingsTest.class.getClassLoader(),
            new Class<?>[] {RoutingEventHandler.class},
            (proxy, event, told) -> {
              hear.accept(event.getName(), told);
              return null;
            });
  }

  @Test
  void aForwardWhoseTimeToBeginIsOverIsNeverSent() throws Exception {
    Cache cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
    BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    world.start(
        GatewayOptions.read(world.environment(folder)),
        (now, in, to) ->
            in.replayTo(
                events(
                    (event, told) -> {
                      if (event.equals("requestReceived")) {
                        to.limitRetryStart(((RequestDetails) told[0]).id(), now - 1);
                        to.sendAttempt(
                            new AttemptCommand(((RequestDetails) told[0]).id(), 0, 0, 0, 0, 0, 0));
                      } else if (event.equals("attemptEnded")) {
                        outcomes.add(((AttemptResult) told[0]).outcome());
                      }
                    })));
    world.client().get(1, "parts", 4000, 0);
    assertEquals(AttemptOutcome.NOT_SENT, outcomes.poll(PATIENCE_MS, TimeUnit.MILLISECONDS));
    assertNull(cache.commands.poll());
  }
}
