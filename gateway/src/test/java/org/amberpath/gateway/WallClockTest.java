package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.RoutingEventHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the decisions are told of purges and starts while the wall clock steps, on loopback. */
class WallClockTest {
  private static final long HOUR_MS = 3_600_000, SOON_MS = 60_000;

  /**
   * What a cache or a purge was told with: how long ago it was, and for a cache when it started.
   */
  private record Told(String what, long agoMs, long at) {}

  @TempDir private Path folder;
  private final AtomicLong step = new AtomicLong();
  private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();
  private StandIns world;

  @BeforeEach
  void open() throws Exception {
    world = new StandIns();
  }

  @AfterEach
  void close() throws Exception {
    world.close();
  }

  private void start() throws Exception {
    RoutingStage.BatchRouter decisions =
        (now, in, to) ->
            in.replayTo(
                (RoutingEventHandler)
                    Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {RoutingEventHandler.class},
                        (proxy, event, with) -> {
                          if (event.getName().equals("endpointListed")
                              && ((EndpointDescription) with[0]).startedAtNanos() != 0) {
                            EndpointDescription endpoint = (EndpointDescription) with[0];
                            told.add(
                                new Told(
                                    endpoint.id(),
                                    (now - endpoint.startedAtNanos()) / 1_000_000,
                                    endpoint.startedAtNanos()));
                          } else if (event.getName().equals("objectPurged")) {
                            told.add(new Told("purge", (long) with[2] / 1_000_000, 0));
                          }
                          return null;
                        }));
    world.gateway =
        new Gateway(
            world.vertx,
            GatewayOptions.read(world.environment(folder)),
            GatewayExtensions.NONE,
            decisions,
            new Clock(System::nanoTime, () -> System.currentTimeMillis() + step.get()));
    world
        .gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(StandIns.PATIENCE_S, TimeUnit.SECONDS);
  }

  private Told next(String what) throws InterruptedException {
    Told next;
    do {
      next = told.poll(StandIns.PATIENCE_S, TimeUnit.SECONDS);
      assertNotNull(next, "nothing was told of " + what);
    } while (!next.what.equals(what));
    return next;
  }

  private void purge() {
    world.journal.add("\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}");
  }

  /** Tells of a cache, with a start so long ago by a clock that does not step. */
  private void cache(String id, String state, long startedAtMs) throws Exception {
    world.journal.add(
        "\"hosts\":{\"generation\":1,\"reset\":false,\"instances\":[{\"instanceId\":\""
            + id
            + "\",\"hostPort\":\"127.0.0.1:1\",\"zone\":\"z\",\"machineType\":\"box\",\"cell\":0,"
            + "\"lifecycle\":\""
            + state
            + "\",\"weight\":4,\"startedAtMs\":"
            + startedAtMs
            + "}]}");
  }

  @ParameterizedTest
  @CsvSource({"3600000, false", "3600000, true", "-3600000, false", "-3600000, true"})
  void aPurgeAndAStartThatAreHeardOfAreAsYoungAsTheyCanBe(long ms, boolean beforeTheStart)
      throws Exception {
    step.set(beforeTheStart ? ms : 0);
    start();
    step.set(ms);
    cache("c1", "ready", System.currentTimeMillis());
    long age = next("c1").agoMs;
    assertTrue(age >= 0 && age < SOON_MS, "started " + age + " ms ago");
    purge();
    age = next("purge").agoMs;
    assertTrue(age >= 0 && age < SOON_MS, "purged " + age + " ms ago");
  }

  @Test
  void aStartThatWasToldOfStaysWhereItWas() throws Exception {
    long longAgo = System.currentTimeMillis() - HOUR_MS;
    cache("c1", "ready", longAgo);
    start();
    long startedAt = next("c1").at;
    for (long ms : new long[] {-HOUR_MS, HOUR_MS}) {
      step.set(ms);
      cache("c1", "ready", longAgo);
      assertEquals(startedAt, next("c1").at, "told anew, by a clock that stepped");
    }
  }

  @Test
  void aStartKnownFromBeforeIsColdOnceAPurgeBeliesTheClock() throws Exception {
    step.set(HOUR_MS);
    cache("c1", "ready", System.currentTimeMillis());
    start();
    assertTrue(next("c1").agoMs >= HOUR_MS, "nothing speaks against the clock yet");
    purge();
    purge(); // The first reply of all may bring a purge of any age.
    assertTrue(next("c1").agoMs < SOON_MS);
  }
}
