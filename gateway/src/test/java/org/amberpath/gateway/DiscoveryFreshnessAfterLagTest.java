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
  void afterEventLoopLagDrainsAreReadBeforeRequestsAreRouted(String state, boolean pollEnded)
      throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      StubCache[] caches = {other.cache(), other.cache()};
      StallingRouter router = startStallingGateway(other, caches);
      TestClient client = other.client();
      client.sendRequest(1, "parts", 4000, 0);
      ReceivedCommand first = null;
      for (int at = 0; first == null; at ^= 1) {
        first = caches[at].commands.poll(20, TimeUnit.MILLISECONDS);
      }
      int hashed = caches[0].server.getLocalPort() == first.socket().getLocalPort() ? 0 : 1;
      first.replyOk("before");
      assertEquals("before", text(client.receive()));
      stallWhile(
          other,
          router,
          pollEnded,
          client,
          () -> other.journal.listEndpoint("c" + hashed, caches[hashed].address(), "box", state));
      ReceivedCommand late = caches[1 - hashed].nextCommand();
      assertEquals("0000000000000003", late.element(1));
      late.replyOk("after");
      assertEquals("after", text(client.receive()));
      assertTrue(
          caches[hashed].commands.stream()
              .noneMatch(one -> one.element(1).equals("0000000000000003")));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void afterEventLoopLagPurgesAreReadBeforeRequestsAreRouted(boolean pollEnded) throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      StubCache only = other.cache();
      StallingRouter router = startStallingGateway(other, only);
      stallWhile(
          other,
          router,
          pollEnded,
          other.client(),
          () ->
              other.journal.addEntry(
                  "\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}"));
      assertNotNull(only.nextCommand().field("within"), "it waited for its connection");
      assertNotNull(only.nextCommand().field("within"));
    }
  }

  @Test
  void requestReceivedBeforeTheFirstJournalReplyIsRoutedAfterIt() throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      StubCache only = other.cache();
      other.journal.listEndpoint("c0", only.address(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(other.environment(folder));
      other.journal.addEntry(
          "\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}");
      other.journal.replyOverride = ""; // The journal does not reply yet.
      other.gateway = new Gateway(other.vertx, options);
      var started = other.gateway.start();
      assertNotNull(other.journal.polls.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      TestClient early = other.client().sendRequest(1, "parts", 4000, 0);
      assertNull(only.commands.poll(STALL_MILLIS / 2, TimeUnit.MILLISECONDS));
      assertFalse(early.socket.getInputStream().available() > 0);
      other.journal.replyOverride = null;
      assertNotNull(only.nextCommand().field("within"));
      started.toCompletionStage().toCompletableFuture().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Starts a gateway in a second testbed that knows the given caches. Its event loop stalls in the
   * first batch after {@link StallingRouter#armed} is set.
   */
  private StallingRouter startStallingGateway(GatewayTestbed other, StubCache... caches)
      throws Exception {
    for (int at = 0; at < caches.length; at++) {
      other.journal.listEndpoint("c" + at, caches[at].address(), "box", "ready");
    }
    GatewayOptions options = GatewayOptions.read(other.environment(folder));
    StallingRouter router = new StallingRouter(options);
    other.start(options, router);
    return router;
  }

  /**
   * Stalls the event loop with request 2; request 3 and then the event arrive during the stall.
   *
   * @param pollEnded whether the journal answers the poll in flight before the event, so that the
   *     event is not part of that reply
   */
  private static void stallWhile(
      GatewayTestbed other,
      StallingRouter router,
      boolean pollEnded,
      TestClient client,
      Runnable event)
      throws Exception {
    router.armed = true;
    other.client().sendRequest(2, "parts", 4000, 0);
    assertTrue(router.stalled.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    client.sendRequest(3, "parts", 4000, 0);
    if (pollEnded) { // The reply waits in the gateway's socket; later events wait in the journal.
      other.journal.addEntry("\"expire\":{\"set\":200,\"stamp\":1}");
      Thread.sleep(STALL_MILLIS / 4); // Lets the reply arrive while the event loop is blocked.
    }
    event.run();
    Thread.sleep(STALL_MILLIS); // Exceeds the lag of 62 ms that DiscoveryFreshness accepts.
    router.resume.countDown();
  }
}
