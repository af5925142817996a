package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.amberpath.routing.RoutingEvents.Note;
import org.amberpath.routing.RoutingEvents.Outcome;
import org.amberpath.routing.SeededWorld.Setting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Holds every decision where it was: 10,000 rounds of random events a seed give the actions
 * recorded here, one digest a seed, to the last argument and in the same order. A change that is
 * meant to keep behaviour must not alter a digest; a change of behaviour records new ones and says
 * why. The decisions use logarithms and powers, whose last bit may differ on another kind of
 * processor: the digests were recorded on x86-64.
 */
class RecordedDecisionsTest {
  private static final Map<String, SeededWorld> PLAYED = new TreeMap<>();
  private static final Map<String, String> DIGESTS = new TreeMap<>();

  /** The one place that knows the class under test. */
  private static SeededWorld.Module module(RoutingConfig site) {
    return new RequestRouter(site)::round;
  }

  private static String digest(Setting setting, long seed) {
    String key = setting + " " + seed;
    return DIGESTS.computeIfAbsent(
        key,
        missing -> {
          SeededWorld world = new SeededWorld(setting, seed);
          PLAYED.put(key, world);
          return world.play(module(world));
        });
  }

  @ParameterizedTest
  @CsvSource({
    "ALONE, 1, 091bff61d0926b40d9f3d6837ce1a428443616f0e75b9c2b62f45983daaab55b",
    "ALONE, 2, 1ed837700f2b39a42fc00e0514e54ebaf1526c071572309e56e98d1e05b50390",
    "ALONE, 3, 69daf28dcecd604fab035f581d21f16cc61f87d5b37fcfc6f2dc2461803ba56a",
    "TWENTY, 1, 23a53d57219955e7c95bfe9315909f92e621fb5cbe2f1c9d1325c1be478437bf",
    "TWENTY, 2, 58c515e16e5223ade1150a64cbf399c2e5940b9eba28de05a72b81a128abefd5",
    "TWENTY, 3, 7bec07c7608ff28136332bf8698cbaecf33d0039c32c230be367e1df976fc125",
    "PLAIN, 1, 06ab2c56ec8aee4ab2864fde78e62f4913bbb09c0c6c97a66ce52c03470a0853",
    "PLAIN, 2, 77e3393c489b899f22696fb90990debdb3d3384f9a70b916f8eea4d4117e2291",
    "PLAIN, 3, 539a8a224e70e7b579c7d62ab79360a4409db1be43d7f26c8b13725ecbeae041",
    "NARROW, 1, af3c7d140f69898ed3e086913704abbd376f87966195afd34fe533cab0d1145d",
    "NARROW, 2, 5183e2540e8a1a9c05ae5886cc6e0e6fdaef84a217c8bbac3d793437c9d6e99d",
    "NARROW, 3, 34e043bb4df7bc888701ad73de60d5cfb4631eafb87deb0acf7a870e21ac6d8e"
  })
  void everyActionIsTheRecordedOne(Setting setting, long seed, String recorded) {
    assertEquals(
        recorded,
        digest(setting, seed),
        () -> "counted: " + PLAYED.get(setting + " " + seed).counts);
  }

  /**
   * A digest of events that reach little would hold little: what the worlds must reach, over one
   * seed each.
   */
  @Test
  void theRecordedEventsReachEveryActionOutcomeAndNote() {
    Map<String, Integer> counts = new TreeMap<>();
    for (Setting setting : Setting.values()) {
      digest(setting, 1);
      PLAYED
          .get(setting + " 1")
          .counts
          .forEach((what, many) -> counts.merge(what, many, Integer::sum));
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
