package org.amberpath.lab.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.amberpath.lab.simulation.SeededRuns;
import org.junit.jupiter.api.Test;

/**
 * Runs the membership model on a virtual clock with fixed seeds, so that each run meets the same
 * faults.
 */
class MembershipModelExperimentTest {
  @Test
  void membersSettleAndSharesSumToOneAtMost() {
    Map<String, Object> sums = SeededRuns.runMany(MembershipModelExperiment.MODEL, 4001, 60);
    assertEquals(0L, sums.get("failed"), () -> sums.get("missed").toString());
  }

  @Test
  void sameSeedWritesSameTrace() {
    List<String> first = new ArrayList<>();
    List<String> second = new ArrayList<>();
    SeededRuns.runOne(MembershipModelExperiment.MODEL, 77, first::add);
    SeededRuns.runOne(MembershipModelExperiment.MODEL, 77, second::add);
    assertEquals(first, second);
  }
}
