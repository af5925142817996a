package org.amberpath.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * When caches started, by this process's clock: as late as it can be by the stamps of those who
 * wrote them, whose wall clocks may have stepped, and the same each time it is told. Bounds: one
 * entry for each cache that is held.
 */
final class Starts {
  /** By how much a wall clock steps at most. */
  static final long LONGEST_STEP_MILLIS = 3_600_000;

  private record Start(long stampMs, long atMs) {}

  private final Map<String, Start> known = new HashMap<>();

  /**
   * The start to tell, in milliseconds; 0 for long ago.
   *
   * @param stampMs the stamp in the registry
   * @param errorMs by how much its writer's clock may be behind: nothing started later than now
   */
  long at(String id, long stampMs, long nowMs, long errorMs) {
    if (stampMs == 0) {
      known.remove(id);
      return 0;
    }
    Start start = known.get(id);
    if (start == null || start.stampMs != stampMs) {
      long latest = stampMs > nowMs - errorMs ? nowMs : stampMs + errorMs;
      start = new Start(stampMs, latest);
      known.put(id, start);
    }
    return start.atMs;
  }

  /** A cache is gone: the same id is another one. */
  void gone(String id) {
    known.remove(id);
  }

  /** Only these are held. */
  void retain(Collection<String> ids) {
    known.keySet().retainAll(ids);
  }
}
