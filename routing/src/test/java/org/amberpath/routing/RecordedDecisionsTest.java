package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.amberpath.routing.SeededConfig.Setting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against unintended changes of routing decisions. For each setting and seed, the router
 * decides on 10,000 batches of random events, and one digest covers all its actions, with all
 * arguments and in order. A change that is meant to preserve behaviour must not alter a digest; a
 * change of behaviour records new digests and says why. The decisions use logarithms and powers,
 * whose last bit may differ on another kind of processor: the digests were recorded on x86-64.
 */
class RecordedDecisionsTest {
  private static final Map<String, SeededWorld> WORLDS = new TreeMap<>();
  private static final Map<String, String> DIGESTS = new TreeMap<>();

  /** Returns the decisions of a new router; nothing else here refers to the class under test. */
  private static SeededWorld.RoutingModule createModule(RoutingConfig config) {
    return new RequestRouter(config)::decide;
  }

  private static String digest(Setting setting, long seed) {
    String key = setting + " " + seed;
    return DIGESTS.computeIfAbsent(
        key,
        missing -> {
          SeededWorld world = new SeededWorld(setting, seed);
          WORLDS.put(key, world);
          return world.run(createModule(world.config()));
        });
  }

  @ParameterizedTest
  @CsvSource({
    "ALONE, 1, 239155f87a275b5d85d2632960f33c1e7f33ce622551ce763bd020cc4d68073d",
    "ALONE, 2, 2c48f977977f5ea73b7f84a8c289defa67019207ac194aedb5ac9910f208f6a3",
    "ALONE, 3, 7fdd02dd67c74ffa3cecee25d97f0d8e5354190bc6074da1cf91918064483fb5",
    "TWENTY, 1, f152d180eee99dc19762ee99179e3583f04e1bba4961bfb4db01d5f93d5f2bd8",
    "TWENTY, 2, 0146195bb2b6a2332d438353575837affafee468773313744fb1976c82d0d15c",
    "TWENTY, 3, 23a896e6543524fac8d60b2f0d009d7600c09ddd24edeab9fb098aae706d7005",
    "PLAIN, 1, eef7df79bca182d1717e3f5293b57c14240bc3512f95ca7869bf4a7d4b4489e0",
    "PLAIN, 2, 64787abeadaa9e81704bbeac53b6d6ecbed6cc0d3c6505e8e751cdf0c42afcfe",
    "PLAIN, 3, 4417a785ce7569c174b11949a0d64b4624f58ed67b712a6530dc6deb3320f2fc",
    "NARROW, 1, 5a15b2262d8ffbacc6ff637e4e0f64aa3d4a568781015923ada98ed69523e94b",
    "NARROW, 2, 9f28aff515ddfb10377942304344227adebed9373bd9bed2793086deb7a6350a",
    "NARROW, 3, 0fdfcea1fa6122eea4ed5eea3adc4069015389ddb84e1d4b92b4d5f6c654ef40"
  })
  void actionsMatchTheRecordedDigest(Setting setting, long seed, String recordedDigest) {
    assertEquals(
        recordedDigest,
        digest(setting, seed),
        () -> "counted: " + WORLDS.get(setting + " " + seed).counts());
  }

  /**
   * Guards against digests that cover too little: one seed of each setting must together cause
   * every action, outcome and detail.
   */
  @Test
  void recordedEventsCauseEveryActionOutcomeAndDetail() {
    Map<String, Integer> counts = new TreeMap<>();
    for (Setting setting : Setting.values()) {
      digest(setting, 1);
      WORLDS
          .get(setting + " 1")
          .counts()
          .forEach((what, count) -> counts.merge(what, count, Integer::sum));
    }
    for (String action :
        new String[] {
          "forward",
          "sendBy",
          "shed",
          "errored",
          "callOff",
          "wake",
          "watchList",
          "cold",
          "health DOUBTED",
          "health WELL",
          "health HEARD"
        }) {
      assertTrue(
          counts.getOrDefault("action " + action, 0) > 0, "no action " + action + " in " + counts);
    }
    for (AttemptOutcome outcome : AttemptOutcome.values()) {
      assertTrue(
          counts.getOrDefault("outcome " + outcome, 0) > 0,
          "no outcome " + outcome + " in " + counts);
    }
    for (ResponseDetail detail : ResponseDetail.values()) {
      assertTrue(
          counts.getOrDefault("detail " + detail, 0) > 0, "no detail " + detail + " in " + counts);
    }
  }
}
