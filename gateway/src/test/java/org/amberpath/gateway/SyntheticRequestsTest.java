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
import org.amberpath.gateway.pipeline.FleetCallbacks;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.routing.EndpointHealthStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests synthetic requests, which a gateway makes on behalf of the fleet: their outcomes, that no
 * client gets their responses, and that a shutdown does not wait for them.
 */
@Timeout(30)
class SyntheticRequestsTest {
  private static final long TIMEOUT_NANOS = 400_000_000;

  @TempDir private Path folder;
  private GatewayTestbed testbed;
  private StubCache cache;
  private TestClient client;
  private FleetCallbacks callbacks;
  private boolean draining;

  /** A coordinator that does nothing but record the begin of draining. */
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
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    testbed.journal.listEndpoint("o0", testbed.cache().address(), "origin", "ready");
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    testbed.gateway =
        new Gateway(
            testbed.vertx,
            options,
            new GatewayExtensions(
                null,
                (Vertx vertx, GatewayOptions ignoredOptions, FleetCallbacks fleetCallbacks) -> {
                  callbacks = fleetCallbacks;
                  return new IdleCoordinator();
                }));
    testbed
        .gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    client = testbed.client();
  }

  @AfterEach
  void end() throws Exception {
    testbed.close();
  }

  private CompletableFuture<FleetCallbacks.SyntheticOutcome> sendSynthetic(String endpointId) {
    CompletableFuture<FleetCallbacks.SyntheticOutcome> outcome = new CompletableFuture<>();
    callbacks.sendSyntheticRequest(endpointId, TIMEOUT_NANOS, outcome::complete);
    return outcome;
  }

  private void serveOneRequest() throws Exception {
    client.sendRequest(1, "parts", 1500, 3);
    cache.nextCommand().replyOk("part");
    assertEquals(1, client.receive().messageId());
  }

  @Test
  void healthCheckRepeatsAClientsRequestUnderANewId() throws Exception {
    assertFalse(
        callbacks.sendSyntheticRequest("c0", TIMEOUT_NANOS, outcome -> {}),
        "no client request was recorded yet");
    serveOneRequest();
    assertFalse(
        callbacks.sendSyntheticRequest("c9", TIMEOUT_NANOS, outcome -> {}), "the cache is unknown");
    CompletableFuture<FleetCallbacks.SyntheticOutcome> outcome = sendSynthetic("c0");
    ReceivedCommand command = cache.nextCommand();
    assertNotEquals("0000000000000001", command.element(1));
    assertEquals(
        "kind=parts,obj=" + GatewayTestbed.OBJECT_ID + ",seg=3,f=join+held",
        command.element(2).replaceFirst("ms=\\d+,", ""));
    command.reply("nothing", "res=n", new byte[0]);
    assertEquals(
        FleetCallbacks.SyntheticOutcome.ANSWERED,
        outcome.get(5, TimeUnit.SECONDS),
        "a response without the part counts as answered");
    client.sendRequest(2, "parts", 1500, 3);
    cache.nextCommand().replyOk("next");
    assertEquals(
        2, client.receive().messageId(), "the client gets no response of the synthetic request");
  }

  @Test
  void unansweredSyntheticRequestTimesOutAndIsNotRetried() throws Exception {
    serveOneRequest();
    long startedAt = System.nanoTime();
    CompletableFuture<FleetCallbacks.SyntheticOutcome> outcome = sendSynthetic("c0");
    cache.nextCommand();
    assertEquals(FleetCallbacks.SyntheticOutcome.SILENT, outcome.get(5, TimeUnit.SECONDS));
    assertTrue(System.nanoTime() - startedAt < 2 * TIMEOUT_NANOS);
    ReceivedCommand next = cache.commands.poll(300, TimeUnit.MILLISECONDS);
    assertTrue(next == null || !next.element(0).equals("want"), "only a cancellation may follow");
    assertEquals(
        FleetCallbacks.SyntheticOutcome.NOT_SENT,
        sendSynthetic("o0").get(5, TimeUnit.SECONDS),
        "the origin gets no health check");
  }

  @Test
  void shutdownNotifiesTheCoordinatorAndWaitsForNoSyntheticRequest() throws Exception {
    serveOneRequest();
    assertTrue(callbacks.sendSyntheticRequest("c0", TIMEOUT_NANOS, end -> {}));
    cache.nextCommand();
    long startedAt = System.nanoTime();
    testbed.gateway.stop().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    assertTrue(draining);
    assertFalse(
        callbacks.sendSyntheticRequest("c0", TIMEOUT_NANOS, late -> {}),
        "a draining gateway makes no synthetic request");
    assertTrue(System.nanoTime() - startedAt < 3_000_000_000L);
  }
}
