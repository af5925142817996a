package org.amberpath.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.amberpath.registry.SeededRegistryWorld.Setting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Compares each command and output of the watch session, with all arguments and in order, with
 * recorded ones: five minutes of random responses, failures and restarts per seed, one digest per
 * seed. A change that is meant to keep behaviour must not alter a digest; a change of behaviour
 * records new ones and says why.
 */
class RecordedWatchSessionTest {
  private static final Map<String, SeededRegistryWorld> WORLDS = new TreeMap<>();
  private static final Map<String, String> DIGESTS = new TreeMap<>();

  private static String digest(Setting setting, long seed) {
    String key = setting + " " + seed;
    return DIGESTS.computeIfAbsent(
        key,
        missing -> {
          SeededRegistryWorld world = new SeededRegistryWorld(setting, seed);
          WORLDS.put(key, world);
          return world.run();
        });
  }

  /** Sums the counts of the first seed of each setting. */
  private static Map<String, Integer> counts() {
    Map<String, Integer> counts = new TreeMap<>();
    for (Setting setting : Setting.values()) {
      digest(setting, 1);
      WORLDS
          .get(setting + " 1")
          .outputs
          .counts
          .forEach((what, count) -> counts.merge(what, count, Integer::sum));
    }
    return counts;
  }

  @ParameterizedTest
  @CsvSource({
    "SINGLE, 1, 7623c3567d1637ea2faecad23cfcdaadfb0466f30bf8b9eab988f7d4178ffa6b",
    "SINGLE, 2, cd2d47a5ee2d6b5d79aaf6adb7caabb6d5d6f560f85dcaa0a937ed95cfd9d6ce",
    "SINGLE, 3, 6d74bb390def32442a1854f81fa007f83f98261fd9b120b1474b687498f14def",
    "THREE, 1, 729aaace6ecc7e02bded857feaa5e652bac2fa3c2f010dc7857623f5fcbc6c17",
    "THREE, 2, a0de92720bb898c2964bc5ce6351c56a1f328b3811043da3cfd83d9075c39ae9",
    "THREE, 3, 2ea1ea4d02e6938e7892f55c3d5e0beb438d24f8bd80d70f6427980d0bdbc03b",
    "NINE, 1, 64783c4a5481cfebf52014479b5b8979c88a4fcddcd1929adebed9da1465659c",
    "NINE, 2, d2394c497ddb806d6cc4ad4e447522934da14cbadec46076367ca1596dcf3453",
    "NINE, 3, a980d7c53bc8ceed082c1bd4c1745623caf9be456f1d8f7658280e7c02640d0a",
    "BLOCKING, 1, 1184e5011f37d25ee8b17eedd6ee879ae69b4c0bb4d4fb40c4c71b17b5a9b2d9",
    "BLOCKING, 2, 36de8d64def5cdca30c3339c8caf2d36ce5f9289a69df057f75013006e3107a2",
    "BLOCKING, 3, 5958561a774e792873f70f12a4526d511f7701c46c75a9031abd16ff4cb3129b",
    "RESTARTS, 1, c8f522b99c1cfa01d9900b8b7588a0606534ca63fc3df98318848d16466bfc45",
    "RESTARTS, 2, 43b9ee19a12b4d4041e1f015d208614ef605914607104f9aa4a059d0c6797a45",
    "RESTARTS, 3, 42ecddab7e84d145211beaaca04032edec78b70c1fd092cd185ff1b1ede9f9ab"
  })
  void everyCommandAndOutputIsTheRecordedOne(Setting setting, long seed, String recorded) {
    assertEquals(
        recorded,
        digest(setting, seed),
        () -> "counted: " + WORLDS.get(setting + " " + seed).outputs.counts);
  }

  /**
   * A digest covers only what its world reaches: these are the cases that the worlds must reach.
   */
  @Test
  void recordedEventsReachEveryCommandOutputAndPhase() {
    Map<String, Integer> counts = counts();
    for (String reached :
        new String[] {
          "output list",
          "output watch",
          "output pulse",
          "output drop",
          "output complaint",
          "list of all keys",
          "list of what was written since",
          "first page",
          "next page",
          "page of first size",
          "page of larger size",
          "phase EMPTY",
          "phase CURRENT",
          "phase BEHIND",
          "phase CUT_OFF",
          "listing true",
          "listing false",
          "member UP",
          "member DRAINING",
          "member GONE",
          "purged",
          "purged everything"
        }) {
      assertTrue(counts.getOrDefault(reached, 0) > 0, reached + " of " + counts);
    }
  }

  @Test
  void recordedEventsReachEveryEventOfTheRegistryAndOfTheGateway() {
    Map<String, Integer> counts = counts();
    for (String reached :
        new String[] {
          "event outage",
          "event restore",
          "event other cluster",
          "event reload",
          "event restart",
          "event restart from snapshot",
          "event stray answer",
          "event list compacted",
          "event watch compacted",
          "event flood",
          "event progress",
          "event frame",
          "event partial frame",
          "event blocking read"
        }) {
      assertTrue(counts.getOrDefault(reached, 0) > 0, reached + " of " + counts);
    }
  }

  @Test
  void recordedEventsReachEveryKindOfLogLine() {
    Map<String, Integer> counts = counts();
    for (String note :
        new String[] {
          "EMPTY -> CURRENT",
          "CURRENT -> BEHIND",
          "BEHIND -> CURRENT",
          "CURRENT -> CUT_OFF",
          "CUT_OFF -> CURRENT",
          "the registry is another one: all is read anew",
          "revisions went back from N to N: all is read anew",
          "endpoint N is of another registry",
          "endpoint N: WATCH LAGGING",
          "endpoint N: LIST UNREADABLE",
          "endpoint N: PULSE UNAUTHORISED"
        }) {
      assertTrue(counts.getOrDefault("note " + note, 0) > 0, note + " of " + counts);
    }
  }

  @ParameterizedTest
  @EnumSource(value = RegistryFailure.class, mode = EnumSource.Mode.EXCLUDE, names = "LAGGING")
  void recordedEventsReachEveryFailure(RegistryFailure failure) {
    Map<String, Integer> counts = counts();
    assertTrue(counts.getOrDefault("failure " + failure, 0) > 0, failure + " of " + counts);
  }
}
