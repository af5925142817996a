package org.amberpath.lab.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.lab.Experiment;
import org.amberpath.lab.Runs;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The pure half against a registry that fails in any order, always from the same seeds. */
class RegistryModelTest {
  @Test
  void aThousandSeedsMissNoBar() {
    assertEquals(List.of(), Runs.many(RegistryModel.MODEL, 1, 1000).get("missed"));
  }

  @Test
  void aSeedTellsTheSameStoryToTheLetter() {
    List<String> first = new ArrayList<>(), second = new ArrayList<>();
    Runs.one(RegistryModel.MODEL, 42, first::add);
    Runs.one(RegistryModel.MODEL, 42, second::add);
    assertTrue(first.size() > 500);
    assertEquals(first, second);
  }

  @Test
  void manyCachesAndClientsStayWithinTheirBars() {
    Experiment result = RegistrySize.run(1, 200, 40, 50);
    assertTrue(result.holds(), result.json());
  }
}
