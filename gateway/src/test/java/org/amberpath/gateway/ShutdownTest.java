package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that a gateway answers each request that it reads during a graceful shutdown, and has
 * stopped before SIGKILL may follow.
 */
@Timeout(30)
class ShutdownTest {
  private static final int IDLE_CLIENTS = 6;

  @TempDir private Path folder;
  private GatewayTestbed testbed;

  @BeforeEach
  void start() throws Exception {
    testbed = new GatewayTestbed();
  }

  @AfterEach
  void end() throws Exception {
    testbed.close();
  }

  @Test
  void requestsReadDuringShutdownAreAnsweredAndNothingIsReadAfterItsEnd() throws Exception {
    StubCache cache = testbed.start(folder);
    TestClient busyClient = testbed.client();
    busyClient.sendRequest(1, "parts", 2900, 0);
    ReceivedCommand pendingCommand = cache.nextCommand();
    List<TestClient> idleClients = new ArrayList<>();
    for (int idle = 0; idle < IDLE_CLIENTS; idle++) {
      idleClients.add(testbed.client());
      assertTrue(idleClients.get(idle).requestStatus().isReady());
    }
    var stopped = testbed.gateway.stop().toCompletionStage().toCompletableFuture();
    // New requests are rejected from 750 ms on; the request in flight delays the half-close.
    Thread.sleep(900);
    for (int number = 2; number < 30; number++) {
      ClientAnswer answer =
          idleClients
              .get(number % IDLE_CLIENTS)
              .sendRequest(number, "parts", 1500, number)
              .receive();
      assertEquals(number, answer.messageId());
      assertEquals("Overloaded", answer.error());
      assertTrue(Integer.parseInt(answer.fields().get("cooldown")) > 0);
    }
    ClientAnswer lateAnswer = testbed.client().sendRequest(30, "parts", 1500, 0).receive();
    assertEquals("Overloaded", lateAnswer.error());
    assertNull(
        cache.commands.poll(), "a request was forwarded although the gateway rejects requests");
    pendingCommand.replyOk("pending until now");
    assertEquals(
        "pending until now", new String(busyClient.receive().body(), StandardCharsets.UTF_8));
    for (TestClient idle : idleClients) {
      assertTrue(idle.isClosed());
      idle.sendRequest(31, "parts", 1500, 0); // Sent before the client has read the close.
    }
    stopped.get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    // The runtime closes a descriptor when its selector runs the next time.
    CountDownLatch selected = new CountDownLatch(1);
    testbed.runOnEventLoop(() -> testbed.vertx.setTimer(20, later -> selected.countDown()));
    assertTrue(selected.await(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    for (TestClient idle : idleClients) {
      assertThrows(
          IOException.class,
          () -> idle.sendRequest(32, "parts", 1500, 0),
          "a request was read after the connection was half-closed");
    }
  }

  @Test
  void eventLoopLagDoesNotDelayTheEndOfAShutdown() throws Exception {
    StubCache cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    Map<String, String> environment = testbed.environment(folder);
    Path file = Path.of(environment.get("PROXY_CONFIG"));
    Files.writeString(
        file,
        Files.readString(file).replace("\"target-s\":0.4", "\"target-s\":0.4,\"hard-limit-s\":1"));
    testbed.start(GatewayOptions.read(environment), null);
    TestClient client = testbed.client();
    client.sendRequest(1, "parts", 9000, 0);
    assertNotNull(cache.nextCommand());
    testbed.runOnEventLoop(() -> blockEventLoop(2000));
    long stoppedAt = System.nanoTime();
    var stopped = testbed.gateway.stop().toCompletionStage().toCompletableFuture();
    assertFalse(stopped.isDone());
    stopped.get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    long tookMillis = (System.nanoTime() - stoppedAt) / 1_000_000;
    assertEquals("Internal", client.receive().error());
    // It would take 1.5 s longer if the schedule began only after the event loop's lag.
    assertTrue(tookMillis < 3200, "took " + tookMillis + " ms");
  }

  private static void blockEventLoop(long millis) {
    try {
      Thread.sleep(millis); // Blocks the event loop.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
