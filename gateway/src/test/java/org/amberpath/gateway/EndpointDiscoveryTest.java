package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.testsupport.Conditions;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RoutingEventHandler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the effect of endpoint lists, drains and purges that the journal reports. */
@Timeout(30)
class EndpointDiscoveryTest extends GatewayFixture {
  @Test
  void drainingCacheAndDrainingFillSourceGetNoNewRequest() throws Exception {
    StubCache other = testbed.cache();
    testbed.journal.listEndpoint("o0", "127.0.0.1:1", "origin", "draining");
    testbed.journal.listEndpoint("c0", cache.address(), "box", "draining");
    testbed.journal.listEndpoint("c1", other.address(), "box", "ready");
    String last = "tail=5&max_wait=2000";
    for (String poll = "";
        !last.equals(poll);
        poll = testbed.journal.polls.poll(10, TimeUnit.SECONDS)) {
      assertNotNull(poll);
    }
    client.sendRequest(1, "parts", 1500, 0);
    ReceivedCommand command = other.nextCommand();
    assertNull(command.field("miss"));
    assertTrue(cache.commands.isEmpty());
  }

  @Test
  void attemptWaitingForAConnectionIsRoutedAnewWhereItsCacheOrSourceDrains() throws Exception {
    for (String drained : List.of("c0", "o0")) {
      testbed.close();
      testbed = new GatewayTestbed();
      StubCache origin = testbed.cache();
      String full = testbed.fullAddress();
      testbed.journal.listEndpoint("c0", full, "box", "ready");
      testbed.journal.listEndpoint("o0", origin.address(), "origin", "ready");
      Map<String, String> environment = testbed.environment(folder);
      Path file = Path.of(environment.get("PROXY_CONFIG"));
      Files.writeString(
          file,
          Files.readString(file).replace("\"connect-timeout-s\":0.4", "\"connect-timeout-s\":9"));
      testbed.start(GatewayOptions.read(environment), null);
      client = testbed.client();
      client.sendRequest(1, "orders", 3000, 0);
      client.requestStatus();
      cache = testbed.cache();
      testbed.journal.listEndpoint("c1", cache.address(), "box", "ready");
      boolean edge = drained.equals("c0");
      testbed.journal.listEndpoint(
          drained, edge ? full : origin.address(), edge ? "box" : "origin", "draining");
      cache.nextCommand().replyOk("elsewhere");
      assertEquals("elsewhere", text(client.receive()));
    }
  }

  @Test
  void purgeBoundsTheAgeOfTheNextCopy() throws Exception {
    testbed.journal.addEntry(
        "\"expire\":{\"name\":\""
            + GatewayTestbed.OBJECT_ID
            + "\",\"stamp\":"
            + (System.currentTimeMillis() - 200)
            + "}");
    String within = null;
    for (int number = 1; within == null; number++) {
      client.sendRequest(number, "parts", 1500, 0);
      ReceivedCommand command = cache.nextCommand();
      within = command.field("within");
      command.replyOk("x");
      client.receive();
    }
    assertTrue(Long.parseLong(within) >= 198 && Long.parseLong(within) < 2000, within);
  }

  @Test
  void silentOrInvalidJournalIsPolledAgainAndTheListStays() throws Exception {
    testbed.journal.replyOverride = "{\"pos\":\"many\"}";
    testbed.journal.addEntry("\"expire\":{\"set\":3,\"stamp\":1}");
    awaitPolls(3);
    testbed.journal.replyOverride = "";
    awaitPolls(2);
    client = testbed.client();
    client.sendRequest(1, "parts", 1500, 0);
    cache.nextCommand().replyOk("still known");
    assertEquals("still known", text(client.receive()));
    testbed.journal.replyOverride = null;
    awaitPoll("tail=3&");
  }

  @Test
  void fullListReplacesTheFormerOneAndItsAddressesBelongToTheNewCaches() throws Exception {
    client.sendRequest(1, "parts", 1500, 0);
    ReceivedCommand old = cache.nextCommand();
    old.replyOk("old");
    client.receive();
    testbed.journal.addEntry(
        "\"hosts\":{\"reset\":true,\"instances\":[{\"instanceId\":\"c9\",\"hostPort\":\""
            + cache.address()
            + "\",\"zone\":\"z\",\"machineType\":\"box\",\"lifecycle\":\"ready\"}]}");
    awaitPoll("tail=3&");
    client.sendRequest(2, "parts", 1500, 0);
    ReceivedCommand fresh = cache.nextCommand();
    assertNotEquals(old.socket(), fresh.socket());
    assertNull(fresh.field("miss"), "the origin is not in the new list");
  }

  @Test
  void endpointsThatComeAndGoLeaveNothingBehind() throws Exception {
    int here = 3; // Connections: two caches and one client.
    for (int many = 0; many < 300; many++) {
      testbed.journal.listEndpoint("x" + many, cache.address(), "box", "ready");
      testbed.journal.listEndpoint("x" + many, "", "box", "gone");
    }
    awaitPoll("tail=602&");
    client.sendRequest(1, "parts", 1500, 0);
    cache.nextCommand().replyOk("still known");
    assertEquals("still known", text(client.receive()));
    Conditions.await(
        () -> testbed.gateway.resourceCount() <= here, "nothing else is held any more");
    assertEquals(here, testbed.gateway.resourceCount());
  }

  @Test
  void statusIsReadyOnlyOnceAnEndpointListIsKnown() throws Exception {
    testbed.close();
    testbed = new GatewayTestbed();
    testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
    client = testbed.client();
    assertFalse(client.requestStatus().isReady());
    testbed.journal.listEndpoint("c0", "127.0.0.1:1", "box", "ready");
    awaitPoll("tail=1&");
    assertTrue(client.requestStatus().isReady());
  }

  @Test
  void gatewayServesKnownEndpointsWhereTheJournalIsDownAtTheStart() throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      StubCache only = other.cache();
      other.journal.listEndpoint("c0", only.address(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(other.environment(folder));
      other.journal.server.stop(0);
      other.start(options, null);
      TestClient client = other.client();
      client.sendRequest(1, "parts", 1500, 0);
      only.nextCommand().replyOk("known endpoint");
      assertEquals("known endpoint", text(client.receive()));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"\"set\":17", "\"name\":\"7f3a9c21e0b4d655\""})
  void attemptWaitingForAConnectionIsNeverSentWhereItsObjectIsPurged(String what) throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      other.journal.listEndpoint("c0", other.fullAddress(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(other.environment(folder));
      BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
      other.start(
          options,
          (now, in, to) ->
              in.replayTo(
                  (RoutingEventHandler)
                      Proxy.newProxyInstance(
                          getClass().getClassLoader(),
                          new Class<?>[] {RoutingEventHandler.class},
                          (proxy, event, arguments) -> {
                            if (event.getName().equals("requestReceived")) {
                              to.sendAttempt(
                                  new AttemptCommand(
                                      ((RequestDetails) arguments[0]).id(), 0, 0, 0, 0, 0, 0));
                            } else if (event.getName().equals("attemptEnded")) {
                              outcomes.add(((AttemptResult) arguments[0]).outcome());
                            }
                            return null;
                          })));
      other.client().sendRequest(1, "parts", 4000, 0);
      Thread.sleep(STALL_MILLIS / 4); // Lets the attempt start to wait for its connection.
      other.journal.addEntry(
          "\"expire\":{" + what + ",\"stamp\":" + System.currentTimeMillis() + "}");
      assertEquals(AttemptOutcome.WITHDRAWN, outcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }
}
