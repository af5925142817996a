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
 * Real gateways of which one owns what is done for all: stopped and continued, told to end, trying
 * for the others.
 */
class OwnerProcessesTest {
  private static final int MANY = 4;
  private static final long PATIENCE_MS = 40_000;
  private static final String PREFIX = "amberpath/test/",
      FENCE = PREFIX + RecordCodec.TASKS_PREFIX + "sweep";

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
  @TempDir private Path folder;
  private ProcessTestbed rig;
  private long purges;

  @AfterEach
  void stop() throws Exception {
    rig.close();
    EventLoopWaiter.await(vertx.close());
  }

  private void start(String by) throws Exception {
    int port = EventLoopWaiter.await(on(() -> registry.open(0))).port();
    rig =
        new ProcessTestbed(
            new ProcessTestbed.Plan(
                5,
                MANY,
                MANY,
                20,
                folder,
                "[registry]\nform = etcd\nendpoints = 127.0.0.1:"
                    + port
                    + "\nprefix = "
                    + PREFIX
                    + "\njournal = beside\n[owner]\nlease-s = 2\nsweep = yes\nsweep-every-s = 0.2\n"
                    + "probe = yes\n"
                    + by));
    rig.startAll();
    on(
        () ->
            vertx.setPeriodic(
                100,
                tick ->
                    registry.write(
                        Map.of(
                            PREFIX + RecordCodec.PURGES_PREFIX + ++purges,
                            RecordCodec.encode(
                                new RegistryRecord.Purge(
                                    0xf000_0000L + purges,
                                    0,
                                    System.currentTimeMillis() - 3 * 3_600_000))))));
  }

  private <T> T on(Callable<T> what) throws Exception {
    return EventLoopWaiter.on(vertx, what);
  }

  /** What the fence of the sweep holds: the term, and who acted last under it. */
  private JsonObject fence() throws Exception {
    byte[] value = on(() -> registry.now().get(FENCE));
    return value == null
        ? new JsonObject().put("term", 0L).put("by", "")
        : new JsonObject(new String(value, StandardCharsets.UTF_8));
  }

  private void until(String what, Callable<Boolean> holds) throws Exception {
    long end = System.currentTimeMillis() + PATIENCE_MS;
    while (!holds.call()) {
      assertTrue(System.currentTimeMillis() < end, "not in time: " + what + ", " + fence());
      Thread.sleep(50);
    }
  }

  private JsonObject task(int gateway, String name) throws Exception {
    return rig.page(gateway, "/owner").getJsonArray("tasks").stream()
        .map(JsonObject.class::cast)
        .filter(one -> one.getString("task").equals(name))
        .findFirst()
        .orElseThrow();
  }

  private int holder(String name) throws Exception {
    for (int one = 0; one < MANY; one++) {
      if (rig.places().get(one).runs() && task(one, name).getBoolean("holds")) {
        return one;
      }
    }
    return -1;
  }

  private void kept() throws Exception {
    Map<String, Long> ends = rig.settle();
    assertEquals(List.of(), rig.auditor().wrongs());
    assertEquals(0, ends.get("lost"), ends.toString());
    assertEquals(0, ends.get("twice"), ends.toString());
    assertEquals(0, rig.severe());
  }

  @Test
  void anOwnerThatStoodStillPastItsLeaseActsNoMoreAndOneThatEndsHandsOver() throws Exception {
    start("voters = g0, g1, g2\n");
    until("somebody sweeps", () -> fence().getLong("term") > 0);
    JsonObject first = fence();
    int owner = Integer.parseInt(first.getString("by").substring(1));
    rig.stand(owner, 5000);
    until("another sweeps", () -> fence().getLong("term") > first.getLong("term"));
    JsonObject second = fence();
    assertNotEquals(first.getString("by"), second.getString("by"));
    Thread.sleep(5000);
    assertEquals(second, fence(), "the one that woke up changes nothing");

    int next = Integer.parseInt(second.getString("by").substring(1));
    long ended = System.currentTimeMillis();
    rig.term(next);
    until("the heir sweeps", () -> fence().getLong("term") > second.getLong("term"));
    assertTrue(System.currentTimeMillis() - ended < 2000, "sooner than by the lease's end");
    rig.end(next);
    kept();
  }

  @Test
  void byLeasesOneTriesForAllWhatSeveralHaveSetAside() throws Exception {
    start("by = lease\n");
    until("somebody may try", () -> holder("probe") >= 0);
    int owner = holder("probe");
    rig.hang("e3", true);
    until(
        "the others leave it to the owner",
        () -> {
          int leave = 0;
          for (int one = 0; one < MANY; one++) {
            leave += one != owner && task(one, "probe").getBoolean("for_all") ? 1 : 0;
          }
          return leave == MANY - 1;
        });
    long before = rig.wants("e3");
    Thread.sleep(4000);
    long calls = rig.wants("e3") - before;
    assertTrue(calls <= 8, calls + " calls in 4 s by all");
    assertTrue(task(owner, "probe").getLong("done") > 0);
    rig.hang("e3", false);
    long back = rig.wants("e3");
    until("it takes its part again", () -> rig.wants("e3") - back > 40);
    kept();
  }
}
