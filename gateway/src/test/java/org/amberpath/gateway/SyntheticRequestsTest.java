package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.StandIns.Cache;
import org.amberpath.gateway.StandIns.Client;
import org.amberpath.gateway.StandIns.Command;
import org.amberpath.routing.EndpointHealthStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * GETs of a gateway's own, on behalf of the fleet: what comes of them, and that neither client nor
 * stop waits.
 */
@Timeout(30)
class SyntheticRequestsTest {
  private static final long ACT = 400_000_000;

  @TempDir private Path folder;
  private StandIns world;
  private Cache cache;
  private Client client;
  private FleetCallbacks callbacks;
  private boolean draining;

  /** A coordinator that does nothing but keep its callbacks. */
  private final class IdleCoordinator implements FleetCoordinator {
    @Override
    public Future<Void> start() {
      return Future.succeededFuture();
    }

    @Override
    public void endpointHealthChanged(String id, EndpointHealthStatus health) {}

    @Override
    public void endpointWarmingUp(String id, long until) {}

    @Override
    public void reload() {}

    @Override
    public void beginDraining() {
      draining = true;
    }

    @Override
    public Future<Void> close() {
      return Future.succeededFuture();
    }
  }

  @BeforeEach
  void start() throws Exception {
    world = new StandIns();
    cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
    world.journal.host("o0", world.cache().address(), "origin", "ready");
    GatewayOptions options = GatewayOptions.read(world.environment(folder));
    world.gateway =
        new Gateway(
            world.vertx,
            options,
            new GatewayExtensions(
                null,
                (Vertx vertx, GatewayOptions of, FleetCallbacks to) -> {
                  callbacks = to;
                  return new IdleCoordinator();
                }));
    world
        .gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(StandIns.PATIENCE_S, TimeUnit.SECONDS);
    client = world.client();
  }

  @AfterEach
  void end() throws Exception {
    world.close();
  }

  private CompletableFuture<FleetCallbacks.SyntheticOutcome> own(String id) {
    CompletableFuture<FleetCallbacks.SyntheticOutcome> end = new CompletableFuture<>();
    callbacks.sendSyntheticRequest(id, ACT, end::complete);
    return end;
  }

  private void viewed() throws Exception {
    client.get(1, "parts", 1500, 3);
    cache.next().ok("part");
    assertEquals(1, client.answer().number());
  }

  @Test
  void aHealthCheckRepeatsAClientsRequestUnderANewReference() throws Exception {
    assertFalse(
        callbacks.sendSyntheticRequest("c0", ACT, end -> {}), "nobody has asked for anything yet");
    viewed();
    assertFalse(callbacks.sendSyntheticRequest("c9", ACT, end -> {}), "there is no such cache");
    CompletableFuture<FleetCallbacks.SyntheticOutcome> end = own("c0");
    Command want = cache.next();
    assertNotEquals("0000000000000001", want.word(1));
    assertEquals(
        "kind=parts,obj=" + StandIns.OBJECT + ",seg=3,f=join+held",
        want.word(2).replaceFirst("ms=\\d+,", ""));
    want.answer("nothing", "res=n", new byte[0]);
    assertEquals(
        FleetCallbacks.SyntheticOutcome.ANSWERED,
        end.get(5, TimeUnit.SECONDS),
        "that it has not the part is an answer too");
    client.get(2, "parts", 1500, 3);
    cache.next().ok("next");
    assertEquals(2, client.answer().number(), "the client has heard of nothing but its own");
  }

  @Test
  void oneWithoutAResponseTimesOutAndIsNotRetried() throws Exception {
    viewed();
    long began = System.nanoTime();
    CompletableFuture<FleetCallbacks.SyntheticOutcome> end = own("c0");
    cache.next();
    assertEquals(FleetCallbacks.SyntheticOutcome.SILENT, end.get(5, TimeUnit.SECONDS));
    assertTrue(System.nanoTime() - began < 2 * ACT);
    Command next = cache.commands.poll(300, TimeUnit.MILLISECONDS);
    assertTrue(next == null || !next.word(0).equals("want"), "nothing but that it is given up");
    assertEquals(
        FleetCallbacks.SyntheticOutcome.NOT_SENT,
        own("o0").get(5, TimeUnit.SECONDS),
        "the origin is not tried");
  }

  @Test
  void aShutdownNotifiesTheCoordinatorAndWaitsForNoSyntheticRequest() throws Exception {
    viewed();
    own("c0");
    cache.next();
    long began = System.nanoTime();
    world.gateway.stop().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    assertTrue(draining);
    assertFalse(callbacks.sendSyntheticRequest("c0", ACT, late -> {}), "nothing is begun any more");
    assertTrue(System.nanoTime() - began < 3_000_000_000L);
  }
}
