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
import org.amberpath.gateway.StandIns.Cache;
import org.amberpath.gateway.StandIns.Client;
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
 * A request's time counts from its last byte, for caches too, and by its end there is an answer,
 * whatever fails.
 */
@Timeout(60)
class RequestDeadlineTest {
  private static final long LAG_MS = 900,
      TOLERANCE_MS = 150,
      ALLOWANCE_MS = 15_000,
      PATIENCE_S = 20;
  private static final int CONNECTIONS = 40;

  @TempDir private Path folder;
  private StandIns world;
  private Cache cache;
  private Vertx oneLoop;

  @BeforeEach
  void start() throws Exception {
    world = new StandIns();
    cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
  }

  @AfterEach
  void end() throws Exception {
    if (oneLoop != null) {
      oneLoop.close().toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
    }
    world.close();
  }

  /** A gateway whose connections are accepted on its event loop, as those of the program are. */
  private void startOnOneLoop(RoutingStage.BatchRouter decisions) throws Exception {
    oneLoop =
        Vertx.builder()
            .withTransport(SingleEventLoopTransport.transport())
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .build();
    world.gateway =
        new Gateway(
            oneLoop,
            GatewayOptions.read(world.environment(folder)),
            GatewayExtensions.NONE,
            decisions);
    world
        .gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(PATIENCE_S, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(strings = {"connected", "connecting", "half sent"})
  void afterEventLoopLagACacheIsToldOfNoMoreTimeThanTheClientHas(String state) throws Exception {
    PausingDecisions decisions =
        new PausingDecisions(
            (now, in, to) ->
                in.replayTo(
                    PausingDecisions.events(
                        (name, told) -> {
                          if (name.equals(
                              "requestReceived")) { // With no limits, so that each comes to the
                            // cache.
                            to.sendAttempt(
                                new AttemptCommand(
                                    ((RequestDetails) told[0]).id(), 0, 0, 0, 0, 0, 0));
                          }
                        })));
    startOnOneLoop(decisions);
    byte[][] requests = new byte[CONNECTIONS][];
    for (int at = 0; at < CONNECTIONS; at++) {
      requests[at] =
          Client.request(at + 1, "parts", Client.fields(at + 1, ALLOWANCE_MS, at + 1), new byte[0]);
    }
    List<Client> clients = new ArrayList<>();
    for (int at = 0; at < CONNECTIONS && !state.equals("connecting"); at++) {
      clients.add(world.client());
      clients.get(at).status();
      if (state.equals("half sent")) {
        clients.get(at).send(Arrays.copyOf(requests[at], requests[at].length / 2));
      }
    }
    decisions.pause(world.client());
    for (int at = 0; at < CONNECTIONS; at++) {
      if (state.equals("connecting")) {
        clients.add(world.client());
      }
      int begun = state.equals("half sent") ? requests[at].length / 2 : 0;
      clients.get(at).send(Arrays.copyOfRange(requests[at], begun, requests[at].length));
    }
    long sentBy = System.nanoTime();
    Thread.sleep(LAG_MS);
    long most = ALLOWANCE_MS - (System.nanoTime() - sentBy) / 1_000_000 + TOLERANCE_MS;
    decisions.resume();
    Map<String, Long> told = new ConcurrentHashMap<>();
    world.threads.submit(
        () -> {
          while (true) {
            StandIns.Command command = cache.commands.take();
            if (!command.word(1).equals(PausingDecisions.REF)) {
              told.put(command.word(1), Long.parseLong(command.field("ms")));
              command.ok("part");
            }
          }
        });
    int served = 0;
    for (Client client : clients) { // On a machine that is busy all along some may be shed.
      String error = client.answer().error();
      served += error == null ? 1 : 0;
      assertTrue(error == null || error.equals("Overloaded"), error);
    }
    assertTrue(served > 0);
    told.forEach((ref, left) -> assertTrue(left <= most, ref + " has " + left + " ms, of " + most));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 5})
  void aRequestWithHardlyAnyTimeLeftIsAnsweredOnceAndNeverSent(long allowance) throws Exception {
    world.start(GatewayOptions.read(world.environment(folder)), null);
    Client client = world.client();
    client.get(1, "parts", allowance, 0);
    assertEquals("Overloaded", client.answer().error());
    assertTrue(client.status().status());
    client.get(2, "parts", ALLOWANCE_MS, 0);
    assertEquals("0000000000000002", cache.next().word(1));
  }

  @Test
  void whoseTimeWasOverBeforeItWasReadIsAnsweredAtOnceAndNeverSent() throws Exception {
    PausingDecisions decisions =
        new PausingDecisions(
            new RequestRouter(GatewayOptions.read(world.environment(folder)).routingConfig())
                ::decide);
    world.start(GatewayOptions.read(world.environment(folder)), decisions);
    Client client = world.client();
    client.status();
    decisions.pause(world.client());
    client.get(1, "parts", LAG_MS / 3, 0);
    Thread.sleep(LAG_MS);
    decisions.resume();
    assertEquals("Overloaded", client.answer().error());
    client.get(2, "parts", ALLOWANCE_MS, 0);
    assertEquals(PausingDecisions.REF, cache.next().word(1));
    assertEquals("0000000000000002", cache.next().word(1));
  }

  /**
   * What goes wrong beside two requests of one turn: each has its answer in its time, and nothing
   * of them stays.
   */
  @ParameterizedTest
  @ValueSource(strings = {"round", "recursion", "assertion"})
  void troubleFreesNoRequestOfItsAnswer(String trouble) throws Exception {
    world.start(
        GatewayOptions.read(world.environment(folder)),
        (now, in, to) -> {
          if (trouble.equals("round") && world.gateway.phase() == Gateway.Phase.SERVING) {
            throw new IllegalStateException("a round");
          }
          in.replayTo(
              PausingDecisions.events(
                  (name, told) -> {
                    if (name.equals("requestReceived")) {
                      throw trouble.equals("recursion")
                          ? new StackOverflowError()
                          : new AssertionError("an event");
                    }
                  }));
        });
    int held = world.gateway.resourceCount();
    Client client = world.client();
    long allowance = 500;
    long sent = System.nanoTime();
    client.send(
        concat(
            Client.request(1, "parts", Client.fields(1, allowance, 1), new byte[0]),
            Client.request(2, "parts", Client.fields(2, allowance, 2), new byte[0])));
    for (int answer = 0; answer < 2; answer++) {
      assertNotNull(client.answer().error());
    }
    long took = (System.nanoTime() - sent) / 1_000_000;
    assertTrue(took < 10 * allowance, took + " ms");
    assertTrue(client.status().status());
    client.close();
    for (long by = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        world.gateway.resourceCount() > held; ) {
      assertTrue(System.nanoTime() < by, "held for ever: " + world.gateway.resourceCount());
      Thread.sleep(20);
    }
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }
}
