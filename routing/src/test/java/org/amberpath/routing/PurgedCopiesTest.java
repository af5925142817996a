package org.amberpath.routing;

import static org.amberpath.routing.FakeHost.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the bound on the age of copies after a purge of one object, of one group or of all groups.
 */
class PurgedCopiesTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  @ParameterizedTest
  @CsvSource({"5, 0", "0, 9", "0, -1"})
  void copiesOlderThanAPurgeAreExcludedUntilAllCachesHaveDroppedThem(long object, int group) {
    assertEquals(0, host.requestWithHit(5, 0).maxAgeNanos());
    host.deliver(to -> to.objectPurged(object, group, 100 * MS)).advanceMillis(400);
    long maxAgeNanos = host.requestWithHit(5, 0).maxAgeNanos();
    assertTrue(
        maxAgeNanos > 400 * MS && maxAgeNanos < 500 * MS,
        "copies must be younger than the purge, maximum age " + maxAgeNanos);
    assertEquals(
        object == 0, host.requestWithHit(6, 0).maxAgeNanos() > 0, "another object of the group");
    SentAttempt openAttempt = host.request(7, 0);
    host.advanceMillis(6500);
    assertEquals(0, host.requestWithHit(5, 0).maxAgeNanos());
    assertNotNull(openAttempt);
  }
}
