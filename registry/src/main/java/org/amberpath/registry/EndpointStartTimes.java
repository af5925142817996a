package org.amberpath.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates when endpoints started, by this process's clock: the latest time that the writer's
 * timestamp allows, since the writer's wall clock may have stepped. An estimate stays the same
 * until the timestamp changes. Times are Unix milliseconds. Bounds: one entry per endpoint in the
 * view.
 */
final class EndpointStartTimes {
  /** The largest step of a wall clock that is allowed for. */
  static final long MAX_CLOCK_STEP_MILLIS = 3_600_000;

  private record Start(long timestampMillis, long startedAtMillis) {}

  private final Map<String, Start> starts = new HashMap<>();

  /**
   * Returns the start time to publish; 0 if the endpoint started long ago.
   *
   * @param timestampMillis the timestamp in the registry; 0 for long ago
   * @param maxErrorMillis how far the writer's clock may be behind this one
   */
  long startedAt(String id, long timestampMillis, long nowMillis, long maxErrorMillis) {
    if (timestampMillis == 0) {
      starts.remove(id);
      return 0;
    }
    Start start = starts.get(id);
    if (start == null || start.timestampMillis != timestampMillis) {
      // No endpoint of the view has started in the future.
      long latestMillis =
          timestampMillis > nowMillis - maxErrorMillis
              ? nowMillis
              : timestampMillis + maxErrorMillis;
      start = new Start(timestampMillis, latestMillis);
      starts.put(id, start);
    }
    return start.startedAtMillis;
  }

  /** Forgets an endpoint that was removed; a later one under the same id is another endpoint. */
  void remove(String id) {
    starts.remove(id);
  }

  /** Forgets all endpoints except these. */
  void retain(Collection<String> ids) {
    starts.keySet().retainAll(ids);
  }
}
