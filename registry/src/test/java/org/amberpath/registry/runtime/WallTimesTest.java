package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against wrong ages when a wall clock steps by seconds or an hour, in either direction,
 * while a gateway runs or before a writer stamps a record.
 */
class WallTimesTest {
  private static final long MS = 1_000_000;
  private static final long START_MILLIS = 1_700_000_000_000L;
  private static final long HOUR_MILLIS = 3_600_000;
  private static final long SECOND_NANOS = 1_000_000_000;

  private long wallMillis = START_MILLIS;
  private long monotonicNanos = START_MILLIS * MS;
  private final List<Long> agesMillis = new ArrayList<>();

  /** Records ages by the current wall clock, as the gateway computes them. */
  private final WallTimes times =
      new WallTimes(
          new EndpointListener() {
            @Override
            public void endpointListStarted(EndpointListKind kind) {}

            @Override
            public void endpointListed(ListedEndpoint endpoint) {
              agesMillis.add(
                  endpoint.startedAtMillis() == 0 ? -1 : wallMillis - endpoint.startedAtMillis());
            }

            @Override
            public void endpointListCompleted() {}

            @Override
            public void objectPurged(long object, int group, long atMs) {
              agesMillis.add(Math.max(0, wallMillis - atMs));
            }
          },
          () -> monotonicNanos,
          () -> wallMillis);

  @ParameterizedTest
  @ValueSource(longs = {0, 5000, -5000, HOUR_MILLIS, -HOUR_MILLIS})
  void clockStepChangesNoAge(long stepMillis) {
    wallMillis += 1000 + stepMillis;
    monotonicNanos += 1000 * MS;
    times.objectPurged(7, 0, START_MILLIS + 1000);
    times.endpointListed(
        new ListedEndpoint(
            "a",
            "",
            "z",
            "k",
            OptionalInt.of(0),
            EndpointState.UP,
            OptionalDouble.of(1),
            START_MILLIS));
    times.endpointListed(
        new ListedEndpoint(
            "b", "", "z", "k", OptionalInt.of(0), EndpointState.UP, OptionalDouble.of(1), 0));
    assertEquals(List.of(0L, 1000L, -1L), agesMillis);
    assertEquals((wallMillis - 500) * MS, times.toUnixNanos(monotonicNanos - 500 * MS));
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 5000, -5000, HOUR_MILLIS, -HOUR_MILLIS})
  void recentPurgeIsNeverExpiredWhicheverClockHasStepped(long stepMillis) {
    long retentionNanos = 600 * SECOND_NANOS;
    List<RegistryEntry> purges = new ArrayList<>();
    for (long writtenAtMillis :
        new long[] {START_MILLIS + stepMillis, START_MILLIS - 600_000 - 2 * HOUR_MILLIS - 1}) {
      purges.add(
          new RegistryEntry(
              "p/purges/" + writtenAtMillis,
              new RegistryRecord.Purge(7, 0, writtenAtMillis),
              1,
              1));
    }
    List<RegistryEntry> expired =
        RegistryAdminClient.expiredPurges(purges, START_MILLIS, retentionNanos);
    assertEquals(purges.subList(1, 2), expired);
    assertTrue(
        RegistryAdminClient.expiredPurges(
                purges.subList(0, 1), START_MILLIS + HOUR_MILLIS, retentionNanos)
            .isEmpty());
  }
}
