package amberpath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberpath.Arrivals.Note;
import amberpath.Arrivals.Outcome;
import amberpath.SeededWorld.Setting;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Holds every decision where it was: 10,000 rounds of random events a seed give the actions recorded here, one digest a
 * seed, to the last argument and in the same order. A change that is meant to keep behaviour must not alter a digest; a
 * change of behaviour records new ones and says why. The decisions use logarithms and powers, whose last bit may differ
 * on another kind of processor: the digests were recorded on x86-64.
 */
class RecordedDecisionsTest {
  private static final Map<String, SeededWorld> PLAYED = new TreeMap<>();
  private static final Map<String, String> DIGESTS = new TreeMap<>();

  /** The one place that knows the class under test. */
  private static SeededWorld.Module module(Site site) {
    return new RequestRouter(site)::round;
  }

  private static String digest(Setting setting, long seed) {
    String key = setting + " " + seed;
    return DIGESTS.computeIfAbsent(key, missing -> {
      SeededWorld world = new SeededWorld(setting, seed);
      PLAYED.put(key, world);
      return world.play(module(world));
    });
  }

  @ParameterizedTest
  @CsvSource({
    "ALONE, 1, fb8fab7e55ce4b07dfc381699fa32bfd895d2ac0042fdbdf7ef9ddb04b3454b4",
    "ALONE, 2, 244dd30be9d4e5858dc1e285afa7aeb8026cd833bf5d52e280c112a68f062cfd",
    "ALONE, 3, 3d7f668fdccf0b853add88eab192007504556c25edaeb273a634c14b44763bf3",
    "TWENTY, 1, c8933b45bcc5bfec95d73dbf290f6466afd7b5b93b5d262f2a8617e8d5b59594",
    "TWENTY, 2, 72c14eb7c4a54a3c76377ed42a5dc0d5bf8279f2b32297137527ee9cd0d135a0",
    "TWENTY, 3, d7fcb669fa34a3b7045467a2f435e2bf30b5b92e60dbeaec5732fecc42d8d3ba",
    "PLAIN, 1, 036f21f45adfeb67a636209bab4fd0583ef306dda708a35cbbe8292b8ce93928",
    "PLAIN, 2, d29ec6df01116bf958d6ac54382f771fc4c10bbe99e42ae3892ae77dd3bffb1b",
    "PLAIN, 3, 6ace7854b4a9a83f366efaf85d46f1d1a555e490642e3bf920da3168819f8edc",
    "NARROW, 1, af3c7d140f69898ed3e086913704abbd376f87966195afd34fe533cab0d1145d",
    "NARROW, 2, 1815c31ca971090052809d6d2bd014617a01d6e5f0e81298622ff5b723dbb597",
    "NARROW, 3, b45a4d94e0128c299ba2cbce9910d6b6022067d4ed22fc056d69377a7b33747a"})
  void everyActionIsTheRecordedOne(Setting setting, long seed, String recorded) {
    assertEquals(recorded, digest(setting, seed), () -> "counted: " + PLAYED.get(setting + " " + seed).counts);
  }

  /** A digest of events that reach little would hold little: what the worlds must reach, over one seed each. */
  @Test
  void theRecordedEventsReachEveryActionOutcomeAndNote() {
    Map<String, Integer> counts = new TreeMap<>();
    for (Setting setting : Setting.values()) {
      digest(setting, 1);
      PLAYED.get(setting + " 1").counts.forEach((what, many) -> counts.merge(what, many, Integer::sum));
    }
    for (String action : new String[] {"forward", "sendBy", "shed", "errored", "callOff", "wake", "watchList", "cold",
        "health DOUBTED", "health WELL", "health HEARD"}) {
      assertTrue(counts.getOrDefault("action " + action, 0) > 0, action + " of " + counts);
    }
    for (Outcome outcome : Outcome.values()) {
      assertTrue(counts.getOrDefault("outcome " + outcome, 0) > 0, outcome + " of " + counts);
    }
    for (Note note : Note.values()) {
      assertTrue(counts.getOrDefault("note " + note, 0) > 0, note + " of " + counts);
    }
  }
}
