package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PurgeLogTest {
  private static final long MS = 1_000_000L;
  private final PurgeLog purges = new PurgeLog(6000 * MS);

  @Test
  void purgeBoundsTheCopyAgeUntilAllCachesHaveAppliedIt() {
    purges.record(5, 9, 10_000 * MS, 10_000 * MS);
    assertEquals(999 * MS, purges.maxCopyAgeNanos(5, 9, 0, 11_000 * MS));
    assertEquals(
        500 * MS,
        purges.maxCopyAgeNanos(5, 9, 500 * MS, 11_000 * MS),
        "the bound without a purge is stricter");
    assertEquals(0, purges.maxCopyAgeNanos(6, 9, 0, 11_000 * MS), "another object");
    assertEquals(
        0, purges.maxCopyAgeNanos(5, 9, 0, 16_001 * MS), "all caches have applied the purge");
  }

  @Test
  void purgeOfAGroupOrOfAllGroupsBoundsItsObjects() {
    purges.record(0, 9, 10_000 * MS, 10_000 * MS);
    assertEquals(99 * MS, purges.maxCopyAgeNanos(5, 9, 0, 10_100 * MS));
    assertEquals(0, purges.maxCopyAgeNanos(5, 8, 0, 10_100 * MS));
    purges.record(0, EndpointListener.ALL_GROUPS, 10_050 * MS, 10_050 * MS);
    assertEquals(49 * MS, purges.maxCopyAgeNanos(5, 8, 0, 10_100 * MS));
  }
}
