package org.amberpath.lab.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.amberpath.lab.Runs;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Planners and forwarders that fail in any order, always from the same seeds. */
class PlannersModelTest {
  @Test
  void theSumOfWhatIsGrantedStaysWithinTheBoundOnFiveHundredSeeds() {
    assertEquals(List.of(), Runs.many(PlannersModel.MODEL, 1, 500).get("missed"));
  }

  @Test
  void aSeedTellsTheSameStoryToTheLetter() {
    List<String> first = new ArrayList<>(), second = new ArrayList<>();
    Runs.one(PlannersModel.MODEL, 7, first::add);
    Runs.one(PlannersModel.MODEL, 7, second::add);
    assertEquals(first, second);
  }
}
