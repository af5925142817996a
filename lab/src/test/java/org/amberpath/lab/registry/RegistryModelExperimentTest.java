package org.amberpath.lab.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.simulation.SeededRuns;
import org.junit.jupiter.api.Test;

/** Tests the registry client's protocol logic against simulated faults, with fixed seeds. */
class RegistryModelExperimentTest {
  @Test
  void viewMatchesRegistryOnThousandSeeds() {
    assertEquals(
        List.of(), SeededRuns.runMany(RegistryModelExperiment.MODEL, 1, 1000).get("missed"));
  }

  @Test
  void sameSeedWritesSameTrace() {
    List<String> first = new ArrayList<>();
    List<String> second = new ArrayList<>();
    SeededRuns.runOne(RegistryModelExperiment.MODEL, 42, first::add);
    SeededRuns.runOne(RegistryModelExperiment.MODEL, 42, second::add);
    assertTrue(first.size() > 500);
    assertEquals(first, second);
  }

  @Test
  void manyCachesAndClientsStayWithinBounds() {
    ExperimentReport result = RegistrySizeExperiment.run(1, 200, 40, 50);
    assertTrue(result.holds(), result.json());
  }
}
