package org.amberpath.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * When caches started, by this process's clock: as late as it can be by the stamps of those who
 * wrote them, whose wall clocks may have stepped, and the same each time it is told. Bounds: one
 * entry for each cache that is held.
 */
final class EndpointStartTimes {
  /** By how much a wall clock steps at most. */
  static final long MAX_CLOCK_STEP_MILLIS = 3_600_000;

  private record Start(long stampMillis, long startedAtMillis) {}

  private final Map<String, Start> starts = new HashMap<>();

  /**
   * The start to tell, in milliseconds; 0 for long ago.
   *
   * @param stampMillis the stamp in the registry
   * @param maxErrorMillis by how much its writer's clock may be behind: nothing started later than
   *     now
   */
  long startedAt(String id, long stampMillis, long nowMillis, long maxErrorMillis) {
    if (stampMillis == 0) {
      starts.remove(id);
      return 0;
    }
    Start start = starts.get(id);
    if (start == null || start.stampMillis != stampMillis) {
      long latestMillis =
          stampMillis > nowMillis - maxErrorMillis ? nowMillis : stampMillis + maxErrorMillis;
      start = new Start(stampMillis, latestMillis);
      starts.put(id, start);
    }
    return start.startedAtMillis;
  }

  /** A cache is gone: the same id is another one. */
  void remove(String id) {
    starts.remove(id);
  }

  /** Only these are held. */
  void retain(Collection<String> ids) {
    starts.keySet().retainAll(ids);
  }
}
