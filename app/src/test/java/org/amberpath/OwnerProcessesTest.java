package org.amberpath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.lab.testbed.ProcessTestbed;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs four gateway processes that elect a leader for each task. Checks that a leader paused past
 * its lease does not act after it resumes, that a leader that is terminated hands over before its
 * lease ends, and that only the lease holder health-checks an ejected cache.
 */
class OwnerProcessesTest {
  private static final int GATEWAY_COUNT = 4;
  private static final long TIMEOUT_MILLIS = 40_000;
  private static final String PREFIX = "amberpath/test/";
  private static final String SWEEP_FENCE_KEY = PREFIX + RecordCodec.TASKS_PREFIX + "sweep";

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
  @TempDir private Path folder;
  private ProcessTestbed testbed;
  private long purgesWritten;

  @AfterEach
  void stop() throws Exception {
    testbed.close();
    EventLoopWaiter.await(vertx.close());
  }

  private void start(String leaderSettings) throws Exception {
    int port = EventLoopWaiter.await(callOnLoop(() -> registry.open(0))).port();
    testbed =
        new ProcessTestbed(
            new ProcessTestbed.Plan(
                5,
                GATEWAY_COUNT,
                GATEWAY_COUNT,
                20,
                folder,
                "[registry]\nform = etcd\nendpoints = 127.0.0.1:"
                    + port
                    + "\nprefix = "
                    + PREFIX
                    + "\njournal = beside\n[owner]\nlease-s = 2\nsweep = yes\nsweep-every-s = 0.2\n"
                    + "probe = yes\n"
                    + leaderSettings));
    testbed.startAll();
    callOnLoop(
        () ->
            vertx.setPeriodic(
                100,
                tick ->
                    registry.write(
                        Map.of(
                            PREFIX + RecordCodec.PURGES_PREFIX + ++purgesWritten,
                            RecordCodec.encode(
                                new RegistryRecord.Purge(
                                    0xf000_0000L + purgesWritten,
                                    0,
                                    System.currentTimeMillis() - 3 * 3_600_000))))));
  }

  private <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  /**
   * Reads the fencing record of the purge retention task: the term, and the gateway that last acted
   * in it; term 0 if there is no record yet.
   */
  private JsonObject sweepFence() throws Exception {
    byte[] value = callOnLoop(() -> registry.entries().get(SWEEP_FENCE_KEY));
    return value == null
        ? new JsonObject().put("term", 0L).put("by", "")
        : new JsonObject(new String(value, StandardCharsets.UTF_8));
  }

  private void await(String description, Callable<Boolean> condition) throws Exception {
    long deadlineMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
    while (!condition.call()) {
      assertTrue(
          System.currentTimeMillis() < deadlineMillis,
          "timed out waiting: " + description + ", " + sweepFence());
      Thread.sleep(50);
    }
  }

  private JsonObject taskStatus(int gateway, String name) throws Exception {
    return testbed.adminPage(gateway, "/owner").getJsonArray("tasks").stream()
        .map(JsonObject.class::cast)
        .filter(entry -> entry.getString("task").equals(name))
        .findFirst()
        .orElseThrow();
  }

  private int leaderOf(String name) throws Exception {
    for (int gateway = 0; gateway < GATEWAY_COUNT; gateway++) {
      if (testbed.slots().get(gateway).isRunning()
          && taskStatus(gateway, name).getBoolean("holds")) {
        return gateway;
      }
    }
    return -1;
  }

  private void assertRulesKept() throws Exception {
    Map<String, Long> outcomes = testbed.stopClientsAndCountOutcomes();
    assertEquals(List.of(), testbed.auditor().violations());
    assertEquals(0, outcomes.get("lost"), outcomes.toString());
    assertEquals(0, outcomes.get("twice"), outcomes.toString());
    assertEquals(0, testbed.severeLines());
  }

  @Test
  void pausedLeaderStopsActingAfterItsLeaseAndTerminatedLeaderHandsOver() throws Exception {
    start("voters = g0, g1, g2\n");
    await("a leader deletes purges", () -> sweepFence().getLong("term") > 0);
    JsonObject firstFence = sweepFence();
    int leader = Integer.parseInt(firstFence.getString("by").substring(1));
    testbed.pause(leader, 5000);
    await(
        "another gateway deletes purges",
        () -> sweepFence().getLong("term") > firstFence.getLong("term"));
    JsonObject secondFence = sweepFence();
    assertNotEquals(firstFence.getString("by"), secondFence.getString("by"));
    // Waits past the end of the pause: nothing observable marks that a resumed leader does not act.
    Thread.sleep(5000);
    assertEquals(secondFence, sweepFence(), "the resumed gateway changes nothing");

    int successor = Integer.parseInt(secondFence.getString("by").substring(1));
    long terminatedAtMillis = System.currentTimeMillis();
    testbed.terminate(successor);
    await(
        "the successor deletes purges",
        () -> sweepFence().getLong("term") > secondFence.getLong("term"));
    assertTrue(
        System.currentTimeMillis() - terminatedAtMillis < 2000, "hands over before its lease ends");
    testbed.awaitExit(successor);
    assertRulesKept();
  }

  @Test
  void onlyLeaseHolderHealthChecksEjectedCache() throws Exception {
    start("by = lease\n");
    await("a gateway leads health checks", () -> leaderOf("probe") >= 0);
    int leader = leaderOf("probe");
    testbed.hangCache("e3");
    await(
        "the other gateways leave health checks to the leader",
        () -> {
          int deferringGateways = 0;
          for (int gateway = 0; gateway < GATEWAY_COUNT; gateway++) {
            deferringGateways +=
                gateway != leader && taskStatus(gateway, "probe").getBoolean("for_all") ? 1 : 0;
          }
          return deferringGateways == GATEWAY_COUNT - 1;
        });
    long requestsBefore = testbed.cacheRequestCount("e3");
    // Counts the calls during a fixed time.
    Thread.sleep(4000);
    long healthChecks = testbed.cacheRequestCount("e3") - requestsBefore;
    assertTrue(healthChecks <= 8, healthChecks + " requests to the cache in 4 s");
    assertTrue(taskStatus(leader, "probe").getLong("done") > 0);
    testbed.resumeCache("e3");
    long requestsAtResume = testbed.cacheRequestCount("e3");
    await(
        "the cache receives requests again",
        () -> testbed.cacheRequestCount("e3") - requestsAtResume > 40);
    assertRulesKept();
  }
}
