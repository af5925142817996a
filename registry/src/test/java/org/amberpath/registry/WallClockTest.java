package org.amberpath.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Timestamps of wall clocks that have stepped by seconds or an hour must not make a purge older, a
 * cache's start earlier, or a snapshot unusable.
 */
class WallClockTest {
  private static final long MS = 1_000_000;
  private static final long SECOND_NANOS = 1000 * MS;
  private static final long NOW_NANOS = 1_000_000_000_000L * MS;
  private static final long DAY_NANOS = 86_400 * SECOND_NANOS;

  private final List<String> published = new ArrayList<>();
  private final RegistryView view =
      new RegistryView(
          new EndpointListener() {
            @Override
            public void endpointListStarted(EndpointListKind kind) {}

            @Override
            public void endpointListed(ListedEndpoint endpoint) {
              published.add(
                  endpoint.id()
                      + " "
                      + (endpoint.startedAtMillis() == 0
                          ? "long ago"
                          : endpoint.startedAtMillis() - NOW_NANOS / MS));
            }

            @Override
            public void endpointListCompleted() {}

            @Override
            public void objectPurged(long object, int group, long atMs) {
              published.add("purged " + object + " " + (atMs - NOW_NANOS / MS));
            }
          },
          "p/tip",
          100,
          600 * SECOND_NANOS,
          line -> {});

  private static RegistryEntry endpoint(
      String id, EndpointState state, long startedMs, long createRevision, long modRevision) {
    long startedAtMillis = startedMs == 0 ? 0 : NOW_NANOS / MS + startedMs;
    RegistryRecord cache =
        new RegistryRecord.Cache(
            id,
            "127.0.0.1:1",
            "z",
            "k",
            OptionalInt.of(0),
            state,
            OptionalDouble.of(1),
            startedAtMillis);
    return new RegistryEntry("p/caches/" + id, cache, createRevision, modRevision);
  }

  private List<String> takePublished() {
    List<String> all = List.copyOf(published);
    published.clear();
    return all;
  }

  @ParameterizedTest
  @CsvSource({"-5000,0", "-3600000,0", "3600000,0", "0,0", "-7200000,-3600000"})
  void newCacheIsGivenTheLatestStartThatItsTimestampAllows(long stamp, long start) {
    view.applySnapshot(NOW_NANOS, new RegistryListing(List.of(), "c", 1, NOW_NANOS));
    view.applyEvents(
        NOW_NANOS,
        List.of(
            RegistryFixtures.put(
                endpoint("a", EndpointState.UP, stamp - (stamp == 0 ? 1 : 0), 2, 2))));
    assertEquals(List.of("a " + start), takePublished());
  }

  @Test
  void startTimeStaysUntilTheCacheIsReplaced() {
    view.applySnapshot(
        NOW_NANOS,
        new RegistryListing(
            List.of(
                endpoint("a", EndpointState.UP, 3_600_000, 1, 1),
                endpoint("b", EndpointState.UP, -9000, 1, 1),
                endpoint("c", EndpointState.UP, 0, 1, 1)),
            "c",
            1,
            NOW_NANOS));
    assertEquals(List.of("a 0", "b -7000", "c long ago"), takePublished());
    long laterNanos = NOW_NANOS + 60 * SECOND_NANOS;
    view.applyEvents(
        laterNanos,
        List.of(
            RegistryFixtures.put(endpoint("a", EndpointState.DRAINING, 3_600_000, 1, 2)),
            RegistryFixtures.put(endpoint("b", EndpointState.DRAINING, -9000, 1, 2))));
    assertEquals(List.of("a 0", "b -7000"), takePublished());
    view.applyEvents(
        laterNanos,
        List.of(RegistryFixtures.put(endpoint("a", EndpointState.UP, -3_000_000, 1, 3))));
    assertEquals(
        List.of("a 60000"), takePublished(), "a restart, although its writer's clock was set back");
    view.applyEvents(
        laterNanos, List.of(RegistryFixtures.put(endpoint("b", EndpointState.UP, -9000, 4, 4))));
    assertEquals(
        List.of("b long ago", "b 60000"),
        takePublished(),
        "removed, then another cache under the same id");
  }

  @Test
  void purgeInASnapshotCountsFromTheRestore() {
    RegistryEntry purge =
        new RegistryEntry(
            "p/purges/1", new RegistryRecord.Purge(7, 0, NOW_NANOS / MS - 3_600_000), 2, 2);
    view.restoreSnapshot(
        NOW_NANOS, new RegistryListing(List.of(purge), "c", 10, NOW_NANOS - 50 * MS));
    assertEquals(List.of("purged 7 0"), takePublished());
    view.applySnapshot(NOW_NANOS, new RegistryListing(List.of(purge), "c", 10, NOW_NANOS));
    assertEquals(List.of(), takePublished());
  }

  @ParameterizedTest
  @CsvSource({"-10,10", "-3610,3610", "1,0", "10,3590", "3590,10", "3700,-100"})
  void snapshotAgeIsTheLargestThatAClockStepAllows(long confirmedSeconds, long ageSeconds) {
    Snapshot snapshot =
        new Snapshot("p/", "c", 10, NOW_NANOS + confirmedSeconds * SECOND_NANOS, List.of());
    assertEquals(ageSeconds * SECOND_NANOS, snapshot.ageNanos(NOW_NANOS));
    assertEquals(
        ageSeconds < 0 ? Optional.of("its timestamp is in the future") : Optional.empty(),
        snapshot.rejectionReason(NOW_NANOS, "p/", DAY_NANOS));
  }
}
