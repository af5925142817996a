package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StallingRouter;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that drains and purges that reached the journal while the event loop was blocked, or before
 * the first journal reply, apply to requests that were received but not yet routed.
 */
@Timeout(30)
class DiscoveryFreshnessAfterLagTest extends GatewayFixture {
  @ParameterizedTest
  @CsvSource({"draining, false", "gone, false", "draining, true", "gone, true"})
  void drainsAreReadBeforeRequestsAreRoutedAfterEventLoopLag(String state, boolean pollEnded)
      throws Exception {
    try (GatewayTestbed stallingTestbed = new GatewayTestbed()) {
      StubCache[] caches = {stallingTestbed.cache(), stallingTestbed.cache()};
      StallingRouter router = startStallingGateway(stallingTestbed, caches);
      TestClient client = stallingTestbed.client();
      client.sendRequest(1, "parts", 4000, 0);
      ReceivedCommand first = null;
      for (int index = 0; first == null; index ^= 1) {
        first = caches[index].commands.poll(20, TimeUnit.MILLISECONDS);
      }
      int drainedIndex = caches[0].server.getLocalPort() == first.socket().getLocalPort() ? 0 : 1;
      first.replyOk("before");
      assertEquals("before", text(client.receive()));
      stallWhile(
          stallingTestbed,
          router,
          pollEnded,
          client,
          () ->
              stallingTestbed.journal.listEndpoint(
                  "c" + drainedIndex, caches[drainedIndex].address(), "box", state));
      ReceivedCommand rerouted = caches[1 - drainedIndex].nextCommand();
      assertEquals("0000000000000003", rerouted.element(1));
      rerouted.replyOk("after");
      assertEquals("after", text(client.receive()));
      assertTrue(
          caches[drainedIndex].commands.stream()
              .noneMatch(command -> command.element(1).equals("0000000000000003")));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void purgesAreReadBeforeRequestsAreRoutedAfterEventLoopLag(boolean pollEnded) throws Exception {
    try (GatewayTestbed stallingTestbed = new GatewayTestbed()) {
      StubCache onlyCache = stallingTestbed.cache();
      StallingRouter router = startStallingGateway(stallingTestbed, onlyCache);
      stallWhile(
          stallingTestbed,
          router,
          pollEnded,
          stallingTestbed.client(),
          () ->
              stallingTestbed.journal.addEntry(
                  "\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}"));
      assertNotNull(
          onlyCache.nextCommand().field("within"),
          "request 2 was still waiting for its connection");
      assertNotNull(onlyCache.nextCommand().field("within"));
    }
  }

  @Test
  void requestReceivedBeforeTheFirstJournalReplyIsRoutedAfterIt() throws Exception {
    try (GatewayTestbed secondTestbed = new GatewayTestbed()) {
      StubCache onlyCache = secondTestbed.cache();
      secondTestbed.journal.listEndpoint("c0", onlyCache.address(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(secondTestbed.environment(folder));
      secondTestbed.journal.addEntry(
          "\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}");
      secondTestbed.journal.replyOverride = ""; // The journal does not reply yet.
      secondTestbed.gateway = new Gateway(secondTestbed.vertx, options);
      var started = secondTestbed.gateway.start();
      assertNotNull(secondTestbed.journal.polls.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      TestClient earlyClient = secondTestbed.client().sendRequest(1, "parts", 4000, 0);
      assertNull(onlyCache.commands.poll(STALL_MILLIS / 2, TimeUnit.MILLISECONDS));
      assertFalse(earlyClient.socket.getInputStream().available() > 0);
      secondTestbed.journal.replyOverride = null;
      assertNotNull(onlyCache.nextCommand().field("within"));
      started.toCompletionStage().toCompletableFuture().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Starts a gateway in the given testbed; the gateway knows the given caches. Its event loop
   * stalls in the first batch after {@link StallingRouter#armed} is set.
   */
  private StallingRouter startStallingGateway(GatewayTestbed stallingTestbed, StubCache... caches)
      throws Exception {
    for (int index = 0; index < caches.length; index++) {
      stallingTestbed.journal.listEndpoint("c" + index, caches[index].address(), "box", "ready");
    }
    GatewayOptions options = GatewayOptions.read(stallingTestbed.environment(folder));
    StallingRouter router = new StallingRouter(options);
    stallingTestbed.start(options, router);
    return router;
  }

  /**
   * Stalls the event loop with request 2; request 3 and then the event arrive during the stall.
   *
   * @param pollEnded whether the journal answers the poll in flight before the event, so that the
   *     event is not part of that reply
   */
  private static void stallWhile(
      GatewayTestbed stallingTestbed,
      StallingRouter router,
      boolean pollEnded,
      TestClient client,
      Runnable event)
      throws Exception {
    router.armed = true;
    stallingTestbed.client().sendRequest(2, "parts", 4000, 0);
    assertTrue(router.stalled.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    client.sendRequest(3, "parts", 4000, 0);
    if (pollEnded) { // The reply waits in the gateway's socket; later events wait in the journal.
      stallingTestbed.journal.addEntry("\"expire\":{\"set\":200,\"stamp\":1}");
      Thread.sleep(STALL_MILLIS / 4); // Lets the reply arrive while the event loop is blocked.
    }
    event.run();
    Thread.sleep(STALL_MILLIS); // Exceeds the lag of 62 ms that DiscoveryFreshness accepts.
    router.resume.countDown();
  }
}
