package org.amberpath.lab.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.amberpath.lab.simulation.SeededRuns;
import org.junit.jupiter.api.Test;

/** The fleet's view on a virtual clock: the same seeds meet the same faults each time. */
class MembershipModelExperimentTest {
  @Test
  void viewsSettleAndSharesSumToOneAtMost() {
    Map<String, Object> sums = SeededRuns.runMany(MembershipModelExperiment.MODEL, 4001, 60);
    assertEquals(0L, sums.get("failed"), () -> sums.get("missed").toString());
  }

  @Test
  void aSeedTellsTheSameStoryEachTime() {
    List<String> first = new ArrayList<>();
    List<String> second = new ArrayList<>();
    SeededRuns.runOne(MembershipModelExperiment.MODEL, 77, first::add);
    SeededRuns.runOne(MembershipModelExperiment.MODEL, 77, second::add);
    assertEquals(first, second);
  }
}
