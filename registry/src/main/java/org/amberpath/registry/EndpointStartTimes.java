package org.amberpath.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * When endpoints started, by this process's clock: the latest time that the writer's stamp allows,
 * since its wall clock may have stepped, and the same time whenever it is published. Times are Unix
 * milliseconds. Bounds: one entry for each endpoint that is in the view.
 */
final class EndpointStartTimes {
  /** By how much a wall clock steps at most. */
  static final long MAX_CLOCK_STEP_MILLIS = 3_600_000;

  private record Start(long stampMillis, long startedAtMillis) {}

  private final Map<String, Start> starts = new HashMap<>();

  /**
   * The time of start to publish; 0 for long ago.
   *
   * @param stampMillis the stamp in the registry
   * @param maxErrorMillis by how much its writer's clock may be behind
   */
  long startedAt(String id, long stampMillis, long nowMillis, long maxErrorMillis) {
    if (stampMillis == 0) {
      starts.remove(id);
      return 0;
    }
    Start start = starts.get(id);
    if (start == null || start.stampMillis != stampMillis) {
      // Nothing in the view started later than now.
      long latestMillis =
          stampMillis > nowMillis - maxErrorMillis ? nowMillis : stampMillis + maxErrorMillis;
      start = new Start(stampMillis, latestMillis);
      starts.put(id, start);
    }
    return start.startedAtMillis;
  }

  /** An endpoint is gone: what comes under its id later is another one. */
  void remove(String id) {
    starts.remove(id);
  }

  /** Forgets all endpoints but these. */
  void retain(Collection<String> ids) {
    starts.keySet().retainAll(ids);
  }
}
