package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A purge's key goes once it was seen for the retention, whatever the wall clocks of writers and
 * owners say.
 */
class SweepClockTest {
  private static final long SECOND = 1_000_000_000,
      RETENTION = 600 * SECOND,
      WALL_MS = 1_700_000_000_000L;

  private final PurgeRetention sweep = new PurgeRetention(RETENTION, SECOND);

  private static RegistryEntry purge(long atMs, long changed) {
    return new RegistryEntry("p/purges/1", new RegistryRecord.Purge(7, 0, atMs), changed, changed);
  }

  @ParameterizedTest
  @CsvSource({"0,0", "-5000,0", "0,5000", "-3600000,3600000", "3600000,-3600000", "100000000000,0"})
  void noStepMakesAKeyGoEarlierOrStay(long writers, long owners) {
    List<RegistryEntry> all =
        List.of(
            purge(WALL_MS + writers, 5),
            new RegistryEntry("p/tip", new RegistryRecord.Other(), 1, 5));
    long start = WALL_MS * 1_000_000, retentionMs = RETENTION / 1_000_000;
    assertEquals(List.of(), sweep.expiredPurges(all, start, WALL_MS + owners));
    assertEquals(
        List.of(), sweep.expiredPurges(all, start + RETENTION, WALL_MS + retentionMs + owners));
    assertEquals(
        all.subList(0, 1),
        sweep.expiredPurges(all, start + RETENTION + 1, WALL_MS + retentionMs + owners));
  }

  @Test
  void whatIsOldByAnyStepGoesAtOnceSoThatOwnersThatChangeLeaveNothing() {
    List<RegistryEntry> all =
        List.of(purge(WALL_MS - RETENTION / 1_000_000 - 2 * 3_600_000 - 1, 5));
    assertEquals(all, sweep.expiredPurges(all, 0, WALL_MS));
  }

  @Test
  void aKeyThatWasWrittenAnewCountsAnew() {
    sweep.expiredPurges(List.of(purge(0, 5)), 0, 0);
    assertEquals(
        List.of(),
        sweep.expiredPurges(List.of(purge(0, 6)), RETENTION + 1, 0),
        "written again under its name");
    assertEquals(List.of(), sweep.expiredPurges(List.of(), RETENTION + 2, 0));
    assertEquals(
        List.of(),
        sweep.expiredPurges(List.of(purge(0, 6)), 2 * RETENTION + 3, 0),
        "it was away meanwhile");
  }
}
