package org.amberpath.lab.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.amberpath.lab.simulation.SeededRuns;
import org.junit.jupiter.api.Test;

/**
 * Runs the planners' model, with faults of planners and forwarders in random order, from fixed
 * seeds.
 */
class PlannersModelExperimentTest {
  @Test
  void grantsStayWithinBoundOnFiveHundredSeeds() {
    assertEquals(
        List.of(), SeededRuns.runMany(PlannersModelExperiment.MODEL, 1, 500).get("missed"));
  }

  @Test
  void sameSeedWritesSameTrace() {
    List<String> first = new ArrayList<>();
    List<String> second = new ArrayList<>();
    SeededRuns.runOne(PlannersModelExperiment.MODEL, 7, first::add);
    SeededRuns.runOne(PlannersModelExperiment.MODEL, 7, second::add);
    assertEquals(first, second);
  }
}
