package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.amberpath.leadership.SeededHealthCheckSimulation.Scenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against unintended changes of behaviour: the digest of every request, answer, health check
 * and report of {@link HealthCheckCoordinator} in 180 s of random events must equal the one
 * recorded here, for each setting and seed. A change that is meant to keep behaviour must not alter
 * a digest; a change of behaviour records new digests and states the reason.
 */
class RecordedHealthChecksTest {
  private static final Map<String, SeededHealthCheckSimulation> SIMULATIONS = new TreeMap<>();
  private static final Map<String, String> DIGESTS = new TreeMap<>();

  private static String digest(Scenario scenario, long seed) {
    String key = scenario + " " + seed;
    return DIGESTS.computeIfAbsent(
        key,
        missing -> {
          SeededHealthCheckSimulation simulation = new SeededHealthCheckSimulation(scenario, seed);
          SIMULATIONS.put(key, simulation);
          return simulation.run();
        });
  }

  @ParameterizedTest
  @CsvSource({
    "SMALL, 1, dc4b132ab361c7e1602c6c10b6ab2265cc5202b18394760071962ef279362a4b",
    "SMALL, 2, e817bcd5bcf8dc779d805d92c027e3d3e4d7f483a9edfa8e0d90fc26a23c37ae",
    "SMALL, 3, 7b942cbb68a7ff4a167c3bd4a7acf4748142ca3f28822060fb016611c82b2019",
    "MIDDLE, 1, ad43afcebbc7fff28e612d99b12662925ef3cde7f2186bba84baa5b5326730eb",
    "MIDDLE, 2, a2781c46420e99b637bef13898e2bb2d97dfe420cb0d4d2a522ec828f59c4ef6",
    "MIDDLE, 3, fb1fb11b0237d8046884d6e157969132d8bf18f748889a332621f0edb095fbce",
    "LARGE, 1, 82921a4031cf7a60252841da1a02d9031643097ef9fe6f3d2b2d0bffbadd665a",
    "LARGE, 2, 92fe2d90c82a81452070986de84357a70e43e3df1b395eecf6901cd053108382",
    "LARGE, 3, 5e4060cc1198b41323a3225d6cf5edaa72f6139357957ab791092a5c89782d04",
    "LOSSY, 1, 3c861c2059da475181f5ad0b2a4b70f3097c9880873e2375cff5b41d6db47855",
    "LOSSY, 2, 6027d3357f95c8f98d7fc96ba97c622aaa73c73ed43081dbeefd361e940dc809",
    "LOSSY, 3, 79101a0aed916c53904dd56af8a9208b4d0b5b2bea704a59073d973358d1c7a7"
  })
  void actionsMatchRecordedDigest(Scenario scenario, long seed, String recorded) {
    assertEquals(
        recorded,
        digest(scenario, seed),
        () -> "counted: " + SIMULATIONS.get(scenario + " " + seed).actions.counts());
  }

  /**
   * Guards against events that exercise too little for the digests to show a change: all seeds
   * together must reach these actions and states.
   */
  @Test
  void recordedEventsReachEveryActionOutcomeAndState() {
    Map<String, Integer> counts = new TreeMap<>();
    for (Scenario scenario : Scenario.values()) {
      for (long seed = 1; seed <= 3; seed++) {
        digest(scenario, seed);
        SIMULATIONS
            .get(scenario + " " + seed)
            .actions
            .counts()
            .forEach((expected, count) -> counts.merge(expected, count, Integer::sum));
      }
    }
    for (String expected :
        new String[] {
          "ask",
          "answer",
          "word",
          "word refused",
          "check",
          // ANSWERED, SILENT, NOT_SENT.
          "checked 0",
          "checked 1",
          "checked 2",
          "news",
          "to",
          "heard",
          "heard of",
          "result none",
          "result up",
          "result silent",
          "for all true",
          "for all false",
          "idle true",
          "idle false",
          "leader",
          "restarted",
          "lost"
        }) {
      assertTrue(counts.getOrDefault(expected, 0) > 0, expected + " of " + counts);
    }
  }
}
