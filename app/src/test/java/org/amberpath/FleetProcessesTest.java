package org.amberpath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.amberpath.lab.testbed.NetworkLinks.LinkCondition;
import org.amberpath.lab.testbed.ProcessTestbed;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs four gateway processes in one fleet and checks that each detects a partition, a crash, a
 * restart, a pause and a graceful leave, and that the fleet recovers from them.
 */
class FleetProcessesTest {
  private static final int GATEWAY_COUNT = 4;
  private static final long TIMEOUT_MILLIS = 40_000;
  @TempDir private Path folder;
  private ProcessTestbed testbed;

  @BeforeEach
  void start() throws Exception {
    testbed =
        new ProcessTestbed(new ProcessTestbed.Plan(11, GATEWAY_COUNT, GATEWAY_COUNT, 20, folder));
    testbed.startAll();
  }

  @AfterEach
  void stop() throws Exception {
    testbed.close();
  }

  /**
   * Returns the status of gateway {@code member} as gateway {@code observer} last reported it; the
   * empty string if it has reported none.
   */
  private String statusOf(int observer, int member) {
    JsonObject view = testbed.slots().get(observer).view();
    return view == null
        ? ""
        : view.getJsonArray("gateways").stream()
            .map(JsonObject.class::cast)
            .filter(gateway -> gateway.getString("name").equals("g" + member))
            .map(gateway -> gateway.getString("standing"))
            .findFirst()
            .orElse("");
  }

  private String phaseOf(int gateway) {
    JsonObject view = testbed.slots().get(gateway).view();
    return view == null ? "" : view.getString("phase");
  }

  private void await(String description, Predicate<Integer> condition, int... gateways)
      throws Exception {
    long deadlineMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
    for (int gateway : gateways) {
      while (!condition.test(gateway)) {
        assertTrue(
            System.currentTimeMillis() < deadlineMillis,
            "timed out waiting: "
                + description
                + ", g"
                + gateway
                + ": "
                + testbed.slots().get(gateway).view());
        Thread.sleep(50);
      }
    }
  }

  private void awaitSettled(String when) throws Exception {
    await(
        "settled " + when,
        gateway ->
            phaseOf(gateway).equals("settled")
                && testbed.slots().get(gateway).view().getInteger("there") == GATEWAY_COUNT,
        0,
        1,
        2,
        3);
  }

  @Test
  void partitionCrashRestartPauseAndLeaveAreDetectedAndRecoveredFrom() throws Exception {
    awaitSettled("at first");

    for (int other = 1; other < GATEWAY_COUNT; other++) {
      testbed.setLink(0, other, LinkCondition.CUT);
      testbed.setLink(other, 0, LinkCondition.CUT);
    }
    await("cut off", gateway -> phaseOf(gateway).equals("cut_off"), 0);
    await("the others list it as lost", gateway -> statusOf(gateway, 0).equals("lost"), 1, 2, 3);
    assertEquals(
        0.25,
        testbed.slots().get(0).view().getDouble("part"),
        "the share does not grow during a partition");
    assertEquals(0.25, testbed.slots().get(1).view().getDouble("part"));
    testbed.setAllLinks(LinkCondition.HEALTHY);
    awaitSettled("after the cut");

    testbed.kill(2);
    await("the crash is detected", gateway -> statusOf(gateway, 2).equals("lost"), 0, 1, 3);
    testbed.start(2);
    awaitSettled("after the restart");

    testbed.pause(1, 6000);
    await("the pause is detected", gateway -> statusOf(gateway, 1).equals("lost"), 0, 2, 3);
    awaitSettled("after the pause");

    testbed.terminate(3);
    await("the leave is received", gateway -> statusOf(gateway, 3).equals("left"), 0, 1, 2);
    testbed.awaitExit(3);

    Map<String, Long> outcomes = testbed.stopClientsAndCountOutcomes();
    assertEquals(List.of(), testbed.auditor().violations());
    assertEquals(0, outcomes.get("lost"), outcomes.toString());
    assertEquals(0, outcomes.get("twice"), outcomes.toString());
    assertTrue(outcomes.get("returned") > 0, outcomes.toString());
    assertEquals(0, testbed.severeLines());
  }
}
