package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
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
  private static final long START = 1_700_000_000_000L;
  private static final long HOUR = 3_600_000;
  private static final long SECOND = 1_000_000_000;

  private long wall = START;
  private long monotonic = START * MS;
  private final List<Long> ages = new ArrayList<>();

  /** Records ages by the current wall clock, as the gateway computes them. */
  private final WallTimes times =
      new WallTimes(
          new EndpointListener() {
            @Override
            public void endpointListStarted(EndpointListKind kind) {}

            @Override
            public void endpointListed(ListedEndpoint endpoint) {
              ages.add(endpoint.startedAtMillis() == 0 ? -1 : wall - endpoint.startedAtMillis());
            }

            @Override
            public void endpointListCompleted() {}

            @Override
            public void objectPurged(long object, int group, long atMs) {
              ages.add(Math.max(0, wall - atMs));
            }
          },
          () -> monotonic,
          () -> wall);

  @ParameterizedTest
  @ValueSource(longs = {0, 5000, -5000, HOUR, -HOUR})
  void clockStepChangesNoAge(long step) {
    wall += 1000 + step;
    monotonic += 1000 * MS;
    times.objectPurged(7, 0, START + 1000);
    times.endpointListed(new ListedEndpoint("a", "", "z", "k", 0, EndpointState.UP, 1, START));
    times.endpointListed(new ListedEndpoint("b", "", "z", "k", 0, EndpointState.UP, 1, 0));
    assertEquals(List.of(0L, 1000L, -1L), ages);
    assertEquals((wall - 500) * MS, times.toUnixNanos(monotonic - 500 * MS));
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 5000, -5000, HOUR, -HOUR})
  void recentPurgeIsNeverExpiredWhicheverClockHasStepped(long step) {
    long retention = 600 * SECOND;
    List<RegistryEntry> all = new ArrayList<>();
    for (long written : new long[] {START + step, START - 600_000 - 2 * HOUR - 1}) {
      all.add(
          new RegistryEntry("p/purges/" + written, new RegistryRecord.Purge(7, 0, written), 1, 1));
    }
    List<RegistryEntry> expired = RegistryAdminClient.expiredPurges(all, START, retention);
    assertEquals(all.subList(1, 2), expired);
    assertTrue(
        RegistryAdminClient.expiredPurges(all.subList(0, 1), START + HOUR, retention).isEmpty());
  }
}
