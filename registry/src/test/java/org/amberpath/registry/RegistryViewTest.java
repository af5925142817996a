package org.amberpath.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests what a view publishes after lists, watch events, snapshots and restores. */
class RegistryViewTest {
  private static final long MS = 1_000_000;
  private static final long NOW_NANOS = 1_000_000_000_000L * MS;
  private static final long RETENTION_NANOS = 60_000 * MS;

  private final List<String> published = new ArrayList<>();
  private final List<String> logged = new ArrayList<>();
  private final RegistryView view =
      new RegistryView(
          new PublishedLists(published, NOW_NANOS / MS), "p/tip", 6, RETENTION_NANOS, logged::add);

  private static RegistryEntry purge(long object, long agoMs, long modRevision) {
    return new RegistryEntry(
        "p/purge" + object,
        new RegistryRecord.Purge(object, 0, NOW_NANOS / MS - agoMs),
        modRevision,
        modRevision);
  }

  private List<String> takePublished() {
    List<String> all = List.copyOf(published);
    published.clear();
    return all;
  }

  private void startWith(RegistryEntry... entries) {
    view.applySnapshot(NOW_NANOS, new RegistryListing(Arrays.asList(entries), "c", 10, NOW_NANOS));
    takePublished();
  }

  @Test
  void firstListIsPublishedInFull() {
    view.applySnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(
                RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1),
                RegistryFixtures.endpoint("b", EndpointState.DRAINING, 2, 3)),
            "c",
            10,
            NOW_NANOS));
    assertEquals(List.of("=[a+b~]"), takePublished());
    assertEquals(10, view.appliedRevision());
  }

  @Test
  void eachRevisionIsPublishedAsOneList() {
    startWith(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1));
    view.applyEvents(
        NOW_NANOS,
        List.of(
            RegistryFixtures.put(RegistryFixtures.endpoint("b", EndpointState.UP, 11, 11)),
            RegistryFixtures.put(RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 11)),
            RegistryFixtures.put(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 12))));
    assertEquals(List.of("[a~b+]", "[a+]"), takePublished());
  }

  @Test
  void eventsAlreadyAppliedAreSkipped() {
    startWith(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1));
    view.applyEvents(
        NOW_NANOS,
        List.of(
            RegistryFixtures.put(RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 11))));
    view.applyEvents(
        NOW_NANOS,
        List.of(
            RegistryFixtures.put(RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 11)),
            RegistryFixtures.put(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 12))));
    assertEquals(List.of("[a~]", "[a+]"), takePublished());
  }

  @Test
  void recreatedEndpointIsPublishedAsRemovedFirst() {
    startWith(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1));
    assertTrue(
        view.applyWrites(
            NOW_NANOS,
            new RegistryListing(
                List.of(RegistryFixtures.endpoint("a", EndpointState.UP, 14, 14)),
                "c",
                14,
                NOW_NANOS),
            1));
    assertEquals(List.of("[a-]", "[a+]"), takePublished());
  }

  @Test
  void missedDeletionNeedsAListOfAllKeys() {
    startWith(
        RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1),
        RegistryFixtures.endpoint("b", EndpointState.UP, 2, 2));
    assertFalse(
        view.applyWrites(
            NOW_NANOS,
            new RegistryListing(
                List.of(RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 12)),
                "c",
                13,
                NOW_NANOS),
            1));
    assertEquals(List.of(), takePublished());
    view.applySnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 12)),
            "c",
            13,
            NOW_NANOS));
    assertEquals(List.of("[b-a~]"), takePublished());
  }

  @Test
  void missedDeletionHiddenByANewKeyIsDetected() {
    startWith(
        RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1),
        RegistryFixtures.endpoint("b", EndpointState.UP, 2, 2));
    assertFalse(
        view.applyWrites(
            NOW_NANOS,
            new RegistryListing(
                List.of(RegistryFixtures.endpoint("d", EndpointState.UP, 12, 12)),
                "c",
                13,
                NOW_NANOS),
            2));
  }

  @Test
  void unreadableValueKeepsTheLastReadableValueOfItsKeyOnly() {
    startWith(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1));
    RegistryEntry unreadable =
        new RegistryEntry("p/a", new RegistryRecord.Unreadable("not JSON"), 1, 11);
    view.applyEvents(
        NOW_NANOS,
        List.of(
            RegistryFixtures.put(unreadable),
            new WatchEvent(11, "p/b", RegistryFixtures.endpoint("b", EndpointState.UP, 11, 11))));
    assertEquals(List.of("[b+]"), takePublished());
    assertEquals(List.of("p/a: value can't be decoded: not JSON"), logged);
    view.applySnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(unreadable, RegistryFixtures.endpoint("b", EndpointState.UP, 11, 11)),
            "c",
            12,
            NOW_NANOS));
    assertEquals(List.of(), takePublished());
    assertEquals(1, logged.size());
  }

  @Test
  void purgeIsPublishedOnceAndCountsFromNow() {
    startWith();
    view.applyEvents(NOW_NANOS, List.of(RegistryFixtures.put(purge(7, 900, 11))));
    view.applySnapshot(
        NOW_NANOS, new RegistryListing(List.of(purge(7, 900, 11)), "c", 12, NOW_NANOS));
    assertEquals(List.of("purged 7/0 0"), takePublished());
  }

  @Test
  void purgeFromBeforeTheStartCountsFromNowWhateverItsTimestamp() {
    view.applySnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(purge(7, 5000, 3), purge(8, 500, 4), purge(9, -3_600_000, 5)),
            "c",
            10,
            NOW_NANOS));
    assertEquals(List.of("=[]", "purged 7/0 0", "purged 8/0 0", "purged 9/0 0"), takePublished());
  }

  @Test
  void gapLongerThanTheRetentionPurgesEverything() {
    startWith(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1));
    view.applySnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1)),
            "c",
            20,
            NOW_NANOS + RETENTION_NANOS));
    assertEquals(List.of(), takePublished());
    view.applySnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1)),
            "c",
            21,
            NOW_NANOS + 2 * RETENTION_NANOS + 1));
    assertEquals(List.of("purged 0/-1 0"), takePublished());
  }

  @Test
  void newHistoryIsAFullListAndPurgesEverything() {
    startWith(
        RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1),
        RegistryFixtures.endpoint("b", EndpointState.UP, 2, 9));
    view.applyNewHistory(
        NOW_NANOS,
        new RegistryListing(
            List.of(RegistryFixtures.endpoint("b", EndpointState.UP, 2, 5)), "c", 6, NOW_NANOS));
    assertEquals(List.of("=[b+]", "purged 0/-1 0"), takePublished());
    assertEquals(6, view.appliedRevision());
  }

  @Test
  void earlierWriteOfAKnownKeyIsANewHistory() {
    startWith(RegistryFixtures.endpoint("b", EndpointState.UP, 2, 9));
    view.applySnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(
                RegistryFixtures.endpoint("b", EndpointState.UP, 2, 5),
                RegistryFixtures.endpoint("d", EndpointState.UP, 11, 11)),
            "c",
            12,
            NOW_NANOS));
    assertEquals(List.of("=[b+d+]", "purged 0/-1 0"), takePublished());
  }

  @Test
  void keysBeyondTheLimitAreSkippedWhileKnownOnesAreUpdated() {
    startWith(RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1));
    for (int number = 0; number < 8; number++) {
      view.applyEvents(
          NOW_NANOS,
          List.of(
              RegistryFixtures.put(
                  RegistryFixtures.endpoint(
                      "x" + number, EndpointState.UP, 11 + number, 11 + number))));
    }
    assertEquals(5, takePublished().size());
    assertEquals(
        List.of("the registry holds more than 6 keys (most-keys): further keys are ignored"),
        logged);
    view.applyEvents(
        NOW_NANOS,
        List.of(
            RegistryFixtures.put(RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 30))));
    assertEquals(List.of("[a~]"), takePublished());
    assertEquals(6, view.keyCount());
  }

  @Test
  void snapshotIsPublishedInFullAndTheRegistryByDifference() {
    view.restoreSnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(
                RegistryFixtures.endpoint("a", EndpointState.UP, 1, 1),
                RegistryFixtures.endpoint("b", EndpointState.UP, 2, 2)),
            "c",
            10,
            NOW_NANOS - 50 * MS));
    assertEquals(List.of("=[a+b+]"), takePublished());
    assertEquals(NOW_NANOS - 50 * MS, view.confirmedAtNanos());
    view.applySnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(
                RegistryFixtures.endpoint("a", EndpointState.DRAINING, 1, 12),
                RegistryFixtures.endpoint("b", EndpointState.UP, 2, 2)),
            "c",
            12,
            NOW_NANOS));
    assertEquals(List.of("[a~]"), takePublished());
  }

  @Test
  void rejectedSnapshotGivesTheReason() {
    Snapshot snapshot = new Snapshot("p/", "c", 10, NOW_NANOS - 100 * MS, List.of());
    assertEquals(Optional.empty(), snapshot.rejectionReason(NOW_NANOS, "p/", 200 * MS));
    assertEquals(
        Optional.of("its prefix is p/, expected q/"),
        snapshot.rejectionReason(NOW_NANOS, "q/", 200 * MS));
    assertEquals(
        Optional.of("it is 0 s old, at most 0 s are allowed"),
        snapshot.rejectionReason(NOW_NANOS, "p/", 50 * MS));
    assertEquals(
        Optional.of("its timestamp is in the future"),
        snapshot.rejectionReason(NOW_NANOS - 5000 * MS, "p/", 200 * MS));
  }
}
