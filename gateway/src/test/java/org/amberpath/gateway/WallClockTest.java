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
  private static final long HOUR_MILLIS = 3_600_000;
  private static final long RECENT_MILLIS = 60_000;

  /**
   * An event that the router was notified of.
   *
   * @param subject the id of a listed endpoint, or "purge"
   * @param ageMillis the age of the endpoint's start or of the purge, in milliseconds
   * @param startedAtNanos the clock time of the endpoint's start, in nanoseconds; 0 for a purge
   */
  private record RouterNotification(String subject, long ageMillis, long startedAtNanos) {}

  @TempDir private Path folder;
  private final AtomicLong wallClockStepMillis = new AtomicLong();
  private final BlockingQueue<RouterNotification> notifications = new LinkedBlockingQueue<>();
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
    BatchRouter router =
        (nowNanos, events, actions) ->
            events.replayTo(
                (RoutingEventHandler)
                    Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {RoutingEventHandler.class},
                        (proxy, event, arguments) -> {
                          if (event.getName().equals("endpointListed")
                              && ((EndpointDescription) arguments[0]).startedAtNanos() != 0) {
                            EndpointDescription endpoint = (EndpointDescription) arguments[0];
                            notifications.add(
                                new RouterNotification(
                                    endpoint.id(),
                                    (nowNanos - endpoint.startedAtNanos()) / 1_000_000,
                                    endpoint.startedAtNanos()));
                          } else if (event.getName().equals("objectPurged")) {
                            notifications.add(
                                new RouterNotification(
                                    "purge", (long) arguments[2] / 1_000_000, 0));
                          }
                          return null;
                        }));
    testbed.gateway =
        new Gateway(
            testbed.vertx,
            GatewayOptions.read(testbed.environment(folder)),
            GatewayExtensions.NONE,
            router,
            new Clock(
                System::nanoTime, () -> System.currentTimeMillis() + wallClockStepMillis.get()));
    testbed
        .gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private RouterNotification awaitNotification(String subject) throws InterruptedException {
    RouterNotification notification;
    do {
      notification = notifications.poll(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull(notification, "no notification of " + subject);
    } while (!notification.subject.equals(subject));
    return notification;
  }

  private void purge() {
    testbed.journal.addEntry(
        "\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}");
  }

  /**
   * Lists a cache in the journal.
   *
   * @param startedAtMillis its start time, in Unix milliseconds of a clock that does not step
   */
  private void listCache(String id, String state, long startedAtMillis) throws Exception {
    testbed.journal.addEntry(
        "\"hosts\":{\"generation\":1,\"reset\":false,\"instances\":[{\"instanceId\":\""
            + id
            + "\",\"hostPort\":\"127.0.0.1:1\",\"zone\":\"z\",\"machineType\":\"box\",\"cell\":0,"
            + "\"lifecycle\":\""
            + state
            + "\",\"weight\":4,\"startedAtMs\":"
            + startedAtMillis
            + "}]}");
  }

  @ParameterizedTest
  @CsvSource({"3600000, false", "3600000, true", "-3600000, false", "-3600000, true"})
  void agesOfPurgesAndStartsAreRecentAfterAWallClockStep(long stepMillis, boolean beforeTheStart)
      throws Exception {
    wallClockStepMillis.set(beforeTheStart ? stepMillis : 0);
    start();
    wallClockStepMillis.set(stepMillis);
    listCache("c1", "ready", System.currentTimeMillis());
    long ageMillis = awaitNotification("c1").ageMillis;
    assertTrue(ageMillis >= 0 && ageMillis < RECENT_MILLIS, "started " + ageMillis + " ms ago");
    purge();
    ageMillis = awaitNotification("purge").ageMillis;
    assertTrue(ageMillis >= 0 && ageMillis < RECENT_MILLIS, "purged " + ageMillis + " ms ago");
  }

  @Test
  void listedStartIsUnchangedByWallClockSteps() throws Exception {
    long longAgo = System.currentTimeMillis() - HOUR_MILLIS;
    listCache("c1", "ready", longAgo);
    start();
    long startedAt = awaitNotification("c1").startedAtNanos;
    for (long stepMillis : new long[] {-HOUR_MILLIS, HOUR_MILLIS}) {
      wallClockStepMillis.set(stepMillis);
      listCache("c1", "ready", longAgo);
      assertEquals(
          startedAt,
          awaitNotification("c1").startedAtNanos,
          "start time after a step of the wall clock");
    }
  }

  @Test
  void knownStartIsCorrectedOnceAPurgeContradictsTheClock() throws Exception {
    wallClockStepMillis.set(HOUR_MILLIS);
    listCache("c1", "ready", System.currentTimeMillis());
    start();
    assertTrue(
        awaitNotification("c1").ageMillis >= HOUR_MILLIS, "the wall clock is not corrected yet");
    purge();
    purge(); // A purge in the first reply may be of any age.
    assertTrue(awaitNotification("c1").ageMillis < RECENT_MILLIS);
  }
}
