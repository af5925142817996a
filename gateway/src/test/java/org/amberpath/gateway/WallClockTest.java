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
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.gateway.pipeline.BatchRouter;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.RoutingEventHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the ages of purges and start times that the router is notified of when the wall clock
 * steps, with a gateway and a journal on loopback.
 */
class WallClockTest {
  private static final long HOUR_MS = 3_600_000;
  private static final long SOON_MS = 60_000;

  /**
   * An event that the router was notified of.
   *
   * @param what the id of a listed endpoint, or "purge"
   * @param agoMs the age of the endpoint's start or of the purge, in milliseconds
   * @param at the clock time of the endpoint's start, in nanoseconds; 0 for a purge
   */
  private record Notified(String what, long agoMs, long at) {}

  @TempDir private Path folder;
  private final AtomicLong step = new AtomicLong();
  private final BlockingQueue<Notified> notified = new LinkedBlockingQueue<>();
  private GatewayTestbed testbed;

  @BeforeEach
  void open() throws Exception {
    testbed = new GatewayTestbed();
  }

  @AfterEach
  void close() throws Exception {
    testbed.close();
  }

  private void start() throws Exception {
    BatchRouter decisions =
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
                            notified.add(
                                new Notified(
                                    endpoint.id(),
                                    (now - endpoint.startedAtNanos()) / 1_000_000,
                                    endpoint.startedAtNanos()));
                          } else if (event.getName().equals("objectPurged")) {
                            notified.add(new Notified("purge", (long) with[2] / 1_000_000, 0));
                          }
                          return null;
                        }));
    testbed.gateway =
        new Gateway(
            testbed.vertx,
            GatewayOptions.read(testbed.environment(folder)),
            GatewayExtensions.NONE,
            decisions,
            new Clock(System::nanoTime, () -> System.currentTimeMillis() + step.get()));
    testbed
        .gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private Notified next(String what) throws InterruptedException {
    Notified next;
    do {
      next = notified.poll(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull(next, "no event of " + what);
    } while (!next.what.equals(what));
    return next;
  }

  private void purge() {
    testbed.journal.addEntry(
        "\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}");
  }

  /**
   * Lists a cache in the journal.
   *
   * @param startedAtMs its start time, in Unix milliseconds of a clock that does not step
   */
  private void cache(String id, String state, long startedAtMs) throws Exception {
    testbed.journal.addEntry(
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
  void listedPurgesAndStartsAreAsRecentAsTheyCanBe(long ms, boolean beforeTheStart)
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
  void listedStartStaysWhereItWas() throws Exception {
    long longAgo = System.currentTimeMillis() - HOUR_MS;
    cache("c1", "ready", longAgo);
    start();
    long startedAt = next("c1").at;
    for (long ms : new long[] {-HOUR_MS, HOUR_MS}) {
      step.set(ms);
      cache("c1", "ready", longAgo);
      assertEquals(startedAt, next("c1").at, "notified anew, by a clock that stepped");
    }
  }

  @Test
  void knownStartIsCorrectedOnceAPurgeContradictsTheClock() throws Exception {
    step.set(HOUR_MS);
    cache("c1", "ready", System.currentTimeMillis());
    start();
    assertTrue(next("c1").agoMs >= HOUR_MS, "nothing speaks against the clock yet");
    purge();
    purge(); // A purge in the first reply may be of any age.
    assertTrue(next("c1").agoMs < SOON_MS);
  }
}
