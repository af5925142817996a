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
import org.amberpath.gateway.StandIns.Answer;
import org.amberpath.gateway.StandIns.Cache;
import org.amberpath.gateway.StandIns.Client;
import org.amberpath.gateway.StandIns.Command;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * While it shuts down, a gateway answers each request that it reads, and is gone before the kill
 * may come.
 */
@Timeout(30)
class ShutdownTest {
  private static final int RESTING = 6;

  @TempDir private Path folder;
  private StandIns world;

  @BeforeEach
  void start() throws Exception {
    world = new StandIns();
  }

  @AfterEach
  void end() throws Exception {
    world.close();
  }

  @Test
  void whatIsReadWhileAGatewayStopsIsAnsweredAndNothingIsReadAfterTheEnd() throws Exception {
    Cache cache = world.start(folder);
    Client busy = world.client();
    busy.get(1, "parts", 2900, 0);
    Command open = cache.next();
    List<Client> resting = new ArrayList<>();
    for (int one = 0; one < RESTING; one++) {
      resting.add(world.client());
      assertTrue(resting.get(one).status().status());
    }
    var stopped = world.gateway.stop().toCompletionStage().toCompletableFuture();
    Thread.sleep(900); // Requests are rejected by now: the open one holds up the end.
    for (int number = 2; number < 30; number++) {
      Answer answer = resting.get(number % RESTING).get(number, "parts", 1500, number).answer();
      assertEquals(number, answer.number());
      assertEquals("Overloaded", answer.error());
      assertTrue(Integer.parseInt(answer.fields().get("cooldown")) > 0);
    }
    Answer late = world.client().get(30, "parts", 1500, 0).answer();
    assertEquals("Overloaded", late.error());
    assertNull(cache.commands.poll(), "forwarded while the gateway stops");
    open.ok("open until now");
    assertEquals("open until now", new String(busy.answer().body(), StandardCharsets.UTF_8));
    for (Client one : resting) {
      assertTrue(one.isClosed());
      one.get(31, "parts", 1500, 0); // Clients go on sending until they have heard.
    }
    stopped.get(StandIns.PATIENCE_S, TimeUnit.SECONDS);
    CountDownLatch selected =
        new CountDownLatch(1); // The runtime closes a descriptor when it selects the next time.
    world.loop(() -> world.vertx.setTimer(20, later -> selected.countDown()));
    assertTrue(selected.await(StandIns.PATIENCE_S, TimeUnit.SECONDS));
    for (Client one : resting) {
      assertThrows(
          IOException.class,
          () -> one.get(32, "parts", 1500, 0),
          "a request was read after the end");
    }
  }

  @Test
  void withShortDeadlinesALateLoopEndsBeforeItsTimeIsCountedAnew() throws Exception {
    Cache cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
    Map<String, String> environment = world.environment(folder);
    Path file = Path.of(environment.get("PROXY_CONFIG"));
    Files.writeString(
        file,
        Files.readString(file).replace("\"target-s\":0.4", "\"target-s\":0.4,\"hard-limit-s\":1"));
    world.start(GatewayOptions.read(environment), null);
    Client client = world.client();
    client.get(1, "parts", 9000, 0);
    assertNotNull(cache.next());
    world.loop(() -> pause(2000));
    long since = System.nanoTime();
    var stopped = world.gateway.stop().toCompletionStage().toCompletableFuture();
    assertFalse(stopped.isDone());
    stopped.get(StandIns.PATIENCE_S, TimeUnit.SECONDS);
    long took = (System.nanoTime() - since) / 1_000_000;
    assertEquals("Internal", client.answer().error());
    assertTrue(
        took < 3200,
        "took " + took + " ms"); // A second and a half later, were the loop's lateness left out.
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
