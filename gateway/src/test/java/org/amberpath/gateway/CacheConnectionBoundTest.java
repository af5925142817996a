package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.amberpath.gateway.testsupport.Conditions;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.gateway.testsupport.TimedCommand;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The number of cache connections of a gateway that knows more caches than it has descriptors for.
 */
@Timeout(60)
class CacheConnectionBoundTest {
  private static final int CACHES = 60;
  private static final int REQUESTS = 120;

  /** 128 descriptors, of which 64 are reserved for clients and 56 for the runtime. */
  private static final int MAX_CACHE_CONNECTIONS = 8;

  private static final int REQUEST_TIMEOUT_MILLIS = 3000;

  @TempDir private Path folder;
  private final Queue<ReceivedCommand> heldCommands = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean holdCommands = new AtomicBoolean();
  private GatewayTestbed testbed;
  private List<TimedCommand> receivedCommands;

  /** One stub listens for all caches, which the gateway distinguishes by their ids. */
  @BeforeEach
  void startGateway() throws Exception {
    testbed = new GatewayTestbed();
    StubCache cache = testbed.cache();
    for (int index = 0; index < CACHES; index++) {
      testbed.journal.listEndpoint("c" + index, cache.address(), "box", "ready");
    }
    testbed.journal.listEndpoint("o0", cache.address(), "origin", "ready");
    receivedCommands =
        testbed.handleCommands(
            cache,
            command -> {
              if (holdCommands.get()) {
                heldCommands.add(command);
              } else {
                command.replyOk("served");
              }
            });
    testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
  }

  @AfterEach
  void closeTestbed() throws Exception {
    testbed.close();
  }

  private TestClient send(TestClient client, int number) throws Exception {
    Map<String, String> fields = TestClient.requestFields(number, REQUEST_TIMEOUT_MILLIS, 0);
    fields.put("lookup", String.format("%016x", number));
    return client.send(TestClient.encodeRequest(number, "orders", fields, new byte[0]));
  }

  private List<Socket> connections() {
    return receivedCommands.stream().map(one -> one.command().socket()).distinct().toList();
  }

  private long openConnections() {
    return connections().stream().filter(one -> !one.isClosed()).count();
  }

  @Test
  void longestIdleConnectionIsClosedBeforeACacheWithoutOneIsUsed() throws Exception {
    TestClient client = testbed.client();
    for (int number = 1; number <= REQUESTS; number++) {
      assertEquals(null, send(client, number).receive().error());
      Conditions.await(
          () -> openConnections() <= MAX_CACHE_CONNECTIONS,
          "at most as many open cache connections as the bound");
    }
    List<Socket> allConnections = connections();
    assertTrue(
        allConnections.size() > 2 * MAX_CACHE_CONNECTIONS,
        "expected requests to more caches than the bound, got " + allConnections.size());
    assertEquals(
        MAX_CACHE_CONNECTIONS, openConnections(), "no connection is closed below the bound");
    assertTrue(allConnections.get(0).isClosed());
    assertFalse(
        receivedCommands.get(receivedCommands.size() - 1).command().socket().isClosed(),
        "the most recently used connection stays open");
  }

  /** A request without a connection goes to a cache that has one, or is rejected immediately. */
  @Test
  void noConnectionIsOpenedPastTheBoundWhileAllAreBusy() throws Exception {
    holdCommands.set(true);
    AtomicInteger answered = new AtomicInteger();
    for (int number = 1; number <= MAX_CACHE_CONNECTIONS * 4; number++) {
      TestClient client = send(testbed.client(), number);
      testbed.runInBackground(
          () -> {
            client.receive();
            answered.incrementAndGet();
          });
    }
    Conditions.await(
        () -> heldCommands.size() + answered.get() == MAX_CACHE_CONNECTIONS * 4,
        "all requests are sent or rejected");
    assertTrue(heldCommands.size() >= MAX_CACHE_CONNECTIONS, "one request per connection is sent");
    assertTrue(
        connections().size() <= MAX_CACHE_CONNECTIONS, connections().size() + " connections");
    holdCommands.set(false);
    for (ReceivedCommand command : heldCommands) {
      command.replyOk("served");
    }
    Conditions.await(
        () -> answered.get() == MAX_CACHE_CONNECTIONS * 4, "all held requests are answered");
    assertEquals(
        null,
        send(testbed.client(), REQUESTS).receive().error(),
        "a connection is available again");
    assertTrue(
        connections().size() <= MAX_CACHE_CONNECTIONS + 1, connections().size() + " connections");
  }
}
