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
  private static final int BOUND = 8;

  private static final int ALLOWED_MILLIS = 3000;

  @TempDir private Path folder;
  private final Queue<ReceivedCommand> held = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean holds = new AtomicBoolean();
  private GatewayTestbed testbed;
  private List<TimedCommand> seen;

  /** One stub listens for all caches, which the gateway distinguishes by their ids. */
  @BeforeEach
  void start() throws Exception {
    testbed = new GatewayTestbed();
    StubCache cache = testbed.cache();
    for (int at = 0; at < CACHES; at++) {
      testbed.journal.listEndpoint("c" + at, cache.address(), "box", "ready");
    }
    testbed.journal.listEndpoint("o0", cache.address(), "origin", "ready");
    seen =
        testbed.handleCommands(
            cache,
            command -> {
              if (holds.get()) {
                held.add(command);
              } else {
                command.replyOk("served");
              }
            });
    testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
  }

  @AfterEach
  void end() throws Exception {
    testbed.close();
  }

  private TestClient send(TestClient client, int number) throws Exception {
    Map<String, String> fields = TestClient.requestFields(number, ALLOWED_MILLIS, 0);
    fields.put("lookup", String.format("%016x", number));
    return client.send(TestClient.encodeRequest(number, "orders", fields, new byte[0]));
  }

  private List<Socket> connections() {
    return seen.stream().map(one -> one.command().socket()).distinct().toList();
  }

  private long open() {
    return connections().stream().filter(one -> !one.isClosed()).count();
  }

  @Test
  void longestIdleConnectionIsClosedBeforeACacheWithoutOneIsUsed() throws Exception {
    TestClient client = testbed.client();
    for (int number = 1; number <= REQUESTS; number++) {
      assertEquals(null, send(client, number).receive().error());
      Conditions.await(() -> open() <= BOUND, "more connections than the bound");
    }
    List<Socket> all = connections();
    assertTrue(all.size() > 2 * BOUND, "caches were asked in turn: " + all.size());
    assertEquals(BOUND, open(), "none is closed before the bound is reached");
    assertTrue(all.get(0).isClosed());
    assertFalse(seen.get(seen.size() - 1).command().socket().isClosed(), "the last used stays");
  }

  /** A request without a connection goes to a cache that has one, or is rejected immediately. */
  @Test
  void noConnectionIsOpenedPastTheBoundWhileAllAreBusy() throws Exception {
    holds.set(true);
    AtomicInteger answered = new AtomicInteger();
    for (int number = 1; number <= BOUND * 4; number++) {
      TestClient client = send(testbed.client(), number);
      testbed.runInBackground(
          () -> {
            client.receive();
            answered.incrementAndGet();
          });
    }
    Conditions.await(
        () -> held.size() + answered.get() == BOUND * 4, "all are sent or turned away");
    assertTrue(held.size() >= BOUND, "as many as have a connection are sent");
    assertTrue(connections().size() <= BOUND, connections().size() + " connections");
    holds.set(false);
    for (ReceivedCommand command : held) {
      command.replyOk("served");
    }
    Conditions.await(() -> answered.get() == BOUND * 4, "what was held is answered");
    assertEquals(null, send(testbed.client(), REQUESTS).receive().error(), "there is room again");
    assertTrue(connections().size() <= BOUND + 1, connections().size() + " connections");
  }
}
