package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against unintended changes of behaviour: the digest of every command and state of {@link
 * RegistryLeadership} in 400 s of random events must equal the one recorded here, for each seed. A
 * change that is meant to keep behaviour must not alter a digest; a change of behaviour records new
 * digests and states the reason.
 */
class RecordedRegistryLeadershipTest {
  private static final Map<Long, SeededRegistryLeadershipSimulation> SIMULATIONS = new TreeMap<>();
  private static final Map<Long, String> DIGESTS = new TreeMap<>();

  private static String digest(long seed) {
    return DIGESTS.computeIfAbsent(
        seed,
        missing -> {
          SeededRegistryLeadershipSimulation simulation =
              new SeededRegistryLeadershipSimulation(seed);
          SIMULATIONS.put(seed, simulation);
          return simulation.run();
        });
  }

  @ParameterizedTest
  @CsvSource({
    "1, 156c6e843ffd00d94f6f811df50d73b01960d7cba35a0a1a838274045cb71b0d",
    "2, 4e4997b8e1505590594d3b4a96f37c3fe7526bdd47e2bec6d2c6053604d9b24d",
    "3, cdc645eba1deef75a1bb6cb8e8c869775081d726076754245dc2d180e0084ed2",
    "4, cd0631501ad6d5b4f08015e88862cdeb1dc1fa7cb063c154bffe5a299e79323e"
  })
  void actionsMatchRecordedDigest(long seed, String recorded) {
    assertEquals(
        recorded, digest(seed), () -> "counted: " + SIMULATIONS.get(seed).actions.counts());
  }

  /**
   * Guards against events that exercise too little for the digests to show a change: all seeds
   * together must reach these actions and states.
   */
  @Test
  void recordedEventsReachEveryCommandStateAndTransition() {
    Map<String, Integer> counts = new TreeMap<>();
    for (long seed = 1; seed <= 4; seed++) {
      digest(seed);
      SIMULATIONS
          .get(seed)
          .actions
          .counts()
          .forEach((expected, count) -> counts.merge(expected, count, Integer::sum));
    }
    for (String expected :
        new String[] {
          "campaign",
          "won",
          "lost",
          "keep alive",
          "kept",
          "not kept",
          "unheard",
          "resign",
          "handed over",
          "restored",
          "state following",
          "state asking",
          "state waiting",
          "state holding",
          "state resigned",
          "following>asking",
          "asking>following",
          "asking>waiting",
          "asking>holding",
          "waiting>holding",
          "waiting>following",
          "holding>following",
          "following>resigned",
          "waiting>resigned",
          "holding>resigned"
        }) {
      assertTrue(counts.getOrDefault(expected, 0) > 0, expected + " of " + counts);
    }
  }
}
