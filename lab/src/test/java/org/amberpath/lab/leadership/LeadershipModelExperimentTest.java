package org.amberpath.lab.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.amberpath.lab.simulation.SeededRuns;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs the leadership model on a virtual clock: the implementation violates no invariant, and each
 * faulty variant violates one.
 */
class LeadershipModelExperimentTest {
  private static Map<String, Object> runVariant(LeadershipVariant variant, int runs) {
    return SeededRuns.runMany(LeadershipModelExperiment.model(variant), 1, runs);
  }

  @Test
  void oneLeaderAtATimeAndNoEffectOfLowerTermAfterHigher() {
    Map<String, Object> sums = runVariant(LeadershipVariant.RIGHT, 150);
    assertEquals(0L, sums.get("failed"), () -> sums.get("missed").toString());
    assertTrue((long) sums.get("refused") > 0, "no effect with a stale term was rejected");
  }

  @ParameterizedTest
  @EnumSource(value = LeadershipVariant.class, names = "RIGHT", mode = EnumSource.Mode.EXCLUDE)
  void wrongVariantViolatesAnInvariant(LeadershipVariant variant) {
    assertTrue((long) runVariant(variant, 150).get("failed") > 0);
  }
}
