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
    StubCache otherCache = testbed.cache();
    testbed.journal.listEndpoint("o0", "127.0.0.1:1", "origin", "draining");
    testbed.journal.listEndpoint("c0", cache.address(), "box", "draining");
    testbed.journal.listEndpoint("c1", otherCache.address(), "box", "ready");
    String pollAfterAllEntries = "tail=5&max_wait=2000";
    for (String poll = "";
        !pollAfterAllEntries.equals(poll);
        poll = testbed.journal.polls.poll(10, TimeUnit.SECONDS)) {
      assertNotNull(poll);
    }
    client.sendRequest(1, "parts", 1500, 0);
    ReceivedCommand command = otherCache.nextCommand();
    assertNull(command.field("miss"));
    assertTrue(cache.commands.isEmpty());
  }

  /**
   * Guards against requests on a connection to a process that is gone, after another process has
   * taken its place at the same address.
   */
  @ParameterizedTest
  @ValueSource(strings = {"listed as gone before", "listed with a later start"})
  void requestAfterTheReplacementOfItsCacheGoesOnANewConnection(String replacement)
      throws Exception {
    client.sendRequest(1, "parts", 1500, 0);
    ReceivedCommand toOldProcess = cache.nextCommand();
    toOldProcess.replyOk("old");
    assertEquals("old", text(client.receive()));

    if (replacement.equals("listed as gone before")) {
      testbed.journal.listEndpoint("c0", cache.address(), "box", "gone");
      testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
      awaitPoll("tail=4");
    } else {
      testbed.journal.listStartedEndpoint("c0", cache.address(), System.currentTimeMillis());
      awaitPoll("tail=3");
    }

    client.sendRequest(2, "parts", 1500, 0);
    ReceivedCommand toNewProcess = cache.nextCommand();
    assertNotEquals(toOldProcess.socket().getPort(), toNewProcess.socket().getPort());
    toNewProcess.replyOk("new");
    assertEquals("new", text(client.receive()));
  }

  @Test
  void attemptWaitingForAConnectionIsReroutedWhenItsCacheOrSourceDrains() throws Exception {
    for (String drainedId : List.of("c0", "o0")) {
      testbed.close();
      testbed = new GatewayTestbed();
      StubCache origin = testbed.cache();
      String unreachableAddress = testbed.connectTimeoutAddress();
      testbed.journal.listEndpoint("c0", unreachableAddress, "box", "ready");
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
      boolean isEdgeCache = drainedId.equals("c0");
      testbed.journal.listEndpoint(
          drainedId,
          isEdgeCache ? unreachableAddress : origin.address(),
          isEdgeCache ? "box" : "origin",
          "draining");
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
    String maxAgeMillis = null;
    for (int number = 1; maxAgeMillis == null; number++) {
      client.sendRequest(number, "parts", 1500, 0);
      ReceivedCommand command = cache.nextCommand();
      maxAgeMillis = command.field("within");
      command.replyOk("x");
      client.receive();
    }
    assertTrue(
        Long.parseLong(maxAgeMillis) >= 198 && Long.parseLong(maxAgeMillis) < 2000, maxAgeMillis);
  }

  @Test
  void silentOrInvalidJournalIsPolledAgainAndEndpointsAreKept() throws Exception {
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
  void fullListReplacesThePreviousOneAndAReusedAddressGetsANewConnection() throws Exception {
    client.sendRequest(1, "parts", 1500, 0);
    ReceivedCommand oldCommand = cache.nextCommand();
    oldCommand.replyOk("old");
    client.receive();
    testbed.journal.addEntry(
        "\"hosts\":{\"reset\":true,\"instances\":[{\"instanceId\":\"c9\",\"hostPort\":\""
            + cache.address()
            + "\",\"zone\":\"z\",\"machineType\":\"box\",\"lifecycle\":\"ready\"}]}");
    awaitPoll("tail=3&");
    client.sendRequest(2, "parts", 1500, 0);
    ReceivedCommand newCommand = cache.nextCommand();
    assertNotEquals(oldCommand.socket(), newCommand.socket());
    assertNull(newCommand.field("miss"), "the origin is not in the new list");
  }

  @Test
  void removedEndpointsReleaseTheirResources() throws Exception {
    int expectedResources = 3; // Two caches and one client.
    for (int index = 0; index < 300; index++) {
      testbed.journal.listEndpoint("x" + index, cache.address(), "box", "ready");
      testbed.journal.listEndpoint("x" + index, "", "box", "gone");
    }
    awaitPoll("tail=602&");
    client.sendRequest(1, "parts", 1500, 0);
    cache.nextCommand().replyOk("still known");
    assertEquals("still known", text(client.receive()));
    Conditions.await(
        () -> testbed.gateway.resourceCount() <= expectedResources,
        "the resources of removed endpoints are released");
    assertEquals(expectedResources, testbed.gateway.resourceCount());
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
  void gatewayServesConfiguredEndpointsWhenTheJournalIsDownAtStartup() throws Exception {
    try (GatewayTestbed otherTestbed = new GatewayTestbed()) {
      StubCache onlyCache = otherTestbed.cache();
      otherTestbed.journal.listEndpoint("c0", onlyCache.address(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(otherTestbed.environment(folder));
      otherTestbed.journal.server.stop(0);
      otherTestbed.start(options, null);
      TestClient client = otherTestbed.client();
      client.sendRequest(1, "parts", 1500, 0);
      onlyCache.nextCommand().replyOk("known endpoint");
      assertEquals("known endpoint", text(client.receive()));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"\"set\":17", "\"name\":\"7f3a9c21e0b4d655\""})
  void attemptWaitingForAConnectionIsNeverSentWhenItsObjectIsPurged(String purgedField)
      throws Exception {
    try (GatewayTestbed otherTestbed = new GatewayTestbed()) {
      otherTestbed.journal.listEndpoint("c0", otherTestbed.connectTimeoutAddress(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(otherTestbed.environment(folder));
      BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
      otherTestbed.start(
          options,
          (nowNanos, events, actions) ->
              events.replayTo(
                  (RoutingEventHandler)
                      Proxy.newProxyInstance(
                          getClass().getClassLoader(),
                          new Class<?>[] {RoutingEventHandler.class},
                          (proxy, event, arguments) -> {
                            if (event.getName().equals("requestReceived")) {
                              actions.sendAttempt(
                                  new AttemptCommand(
                                      ((RequestDetails) arguments[0]).id(), 0, 0, 0, 0, 0, 0));
                            } else if (event.getName().equals("attemptEnded")) {
                              outcomes.add(((AttemptResult) arguments[0]).outcome());
                            }
                            return null;
                          })));
      otherTestbed.client().sendRequest(1, "parts", 4000, 0);
      Thread.sleep(STALL_MILLIS / 4); // Lets the attempt start to wait for its connection.
      otherTestbed.journal.addEntry(
          "\"expire\":{" + purgedField + ",\"stamp\":" + System.currentTimeMillis() + "}");
      assertEquals(AttemptOutcome.WITHDRAWN, outcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }
}
