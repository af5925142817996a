package org.amberpath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Predicate;
import org.amberpath.lab.testbed.NetworkLinks.Way;
import org.amberpath.lab.testbed.ProcessTestbed;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Four gateways as real processes that know one another: a cut, a crash, a restart, a standstill, a
 * leave.
 */
class FleetProcessesTest {
  private static final int MANY = 4;
  private static final long PATIENCE_MS = 40_000;
  @TempDir private Path folder;
  private ProcessTestbed rig;

  @BeforeEach
  void start() throws Exception {
    rig = new ProcessTestbed(new ProcessTestbed.Plan(11, MANY, MANY, 20, folder));
    rig.startAll();
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  /** What one gateway holds of another. */
  private String held(int of, int other) {
    JsonObject view = rig.places().get(of).view();
    return view == null
        ? ""
        : view.getJsonArray("gateways").stream()
            .map(JsonObject.class::cast)
            .filter(one -> one.getString("name").equals("g" + other))
            .map(one -> one.getString("standing"))
            .findFirst()
            .orElse("");
  }

  private String phase(int of) {
    JsonObject view = rig.places().get(of).view();
    return view == null ? "" : view.getString("phase");
  }

  private void until(String what, Predicate<Integer> each, int... gateways) throws Exception {
    long end = System.currentTimeMillis() + PATIENCE_MS;
    for (int one : gateways) {
      while (!each.test(one)) {
        assertTrue(
            System.currentTimeMillis() < end,
            "not in time: " + what + ", g" + one + ": " + rig.places().get(one).view());
        Thread.sleep(50);
      }
    }
  }

  private void settled(String when) throws Exception {
    until(
        "settled " + when,
        one ->
            phase(one).equals("settled")
                && rig.places().get(one).view().getInteger("there") == MANY,
        0,
        1,
        2,
        3);
  }

  @Test
  void aCutACrashARestartAStandstillAndALeaveAreSeenAndOver() throws Exception {
    settled("at first");

    for (int other = 1; other < MANY; other++) {
      rig.link(0, other, Way.CUT);
      rig.link(other, 0, Way.CUT);
    }
    until("cut off", one -> phase(one).equals("cut_off"), 0);
    until("the others lost it", one -> held(one, 0).equals("lost"), 1, 2, 3);
    assertEquals(
        0.25,
        rig.places().get(0).view().getDouble("part"),
        "a side of a partition takes no larger part");
    assertEquals(0.25, rig.places().get(1).view().getDouble("part"));
    rig.links(Way.WELL);
    settled("after the cut");

    rig.kill(2);
    until("the crash is heard of", one -> held(one, 2).equals("lost"), 0, 1, 3);
    rig.start(2);
    settled("after the restart");

    rig.stand(1, 6000);
    until("the standstill is seen", one -> held(one, 1).equals("lost"), 0, 2, 3);
    settled("after the standstill");

    rig.term(3);
    until("the leave is heard of", one -> held(one, 3).equals("left"), 0, 1, 2);
    rig.end(3);

    Map<String, Long> ends = rig.settle();
    assertEquals(java.util.List.of(), rig.auditor().wrongs());
    assertEquals(0, ends.get("lost"), ends.toString());
    assertEquals(0, ends.get("twice"), ends.toString());
    assertTrue(ends.get("returned") > 0, ends.toString());
    assertEquals(0, rig.severe());
  }
}
