package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against purges that are deleted too early or never because the wall clock of the writer or
 * of the reader steps: a purge is deleted once this process has observed it for the retention.
 */
class PurgeRetentionClockTest {
  private static final long SECOND = 1_000_000_000;
  private static final long RETENTION = 600 * SECOND;
  private static final long WALL_MILLIS = 1_700_000_000_000L;

  private final PurgeRetention retention = new PurgeRetention(RETENTION, SECOND);

  private static RegistryEntry purge(long atMillis, long revision) {
    return new RegistryEntry(
        "p/purges/1", new RegistryRecord.Purge(7, 0, atMillis), revision, revision);
  }

  @ParameterizedTest
  @CsvSource({"0,0", "-5000,0", "0,5000", "-3600000,3600000", "3600000,-3600000", "100000000000,0"})
  void wallClockStepsNeitherHastenNorPreventDeletion(long writerStepMillis, long readerStepMillis) {
    List<RegistryEntry> entries =
        List.of(
            purge(WALL_MILLIS + writerStepMillis, 5),
            new RegistryEntry("p/tip", new RegistryRecord.Other(), 1, 5));
    long start = WALL_MILLIS * 1_000_000;
    long retentionMillis = RETENTION / 1_000_000;
    assertEquals(
        List.of(), retention.expiredPurges(entries, start, WALL_MILLIS + readerStepMillis));
    assertEquals(
        List.of(),
        retention.expiredPurges(
            entries, start + RETENTION, WALL_MILLIS + retentionMillis + readerStepMillis));
    assertEquals(
        entries.subList(0, 1),
        retention.expiredPurges(
            entries, start + RETENTION + 1, WALL_MILLIS + retentionMillis + readerStepMillis));
  }

  @Test
  void purgeOldByAnyClockStepIsDeletedAtOnceByNewLeader() {
    List<RegistryEntry> entries =
        List.of(purge(WALL_MILLIS - RETENTION / 1_000_000 - 2 * 3_600_000 - 1, 5));
    assertEquals(entries, retention.expiredPurges(entries, 0, WALL_MILLIS));
  }

  @Test
  void rewrittenPurgeIsRetainedFromItsRewrite() {
    retention.expiredPurges(List.of(purge(0, 5)), 0, 0);
    assertEquals(
        List.of(),
        retention.expiredPurges(List.of(purge(0, 6)), RETENTION + 1, 0),
        "the purge was written again under its key");
    assertEquals(List.of(), retention.expiredPurges(List.of(), RETENTION + 2, 0));
    assertEquals(
        List.of(),
        retention.expiredPurges(List.of(purge(0, 6)), 2 * RETENTION + 3, 0),
        "the purge was absent in the meantime");
  }
}
