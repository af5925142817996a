package org.amberpath.routing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The recent purges by object and group. While caches may still hold copies from before a purge, a
 * bound on a copy's age excludes them.
 */
final class PurgeLog {
  /**
   * Subtracted from the maximum age of a copy, since clocks and the time of the purge are inexact;
   * also the lower bound of the maximum age.
   */
  private static final long CLOCK_MARGIN_NANOS = 1_000_000L;

  private final long propagationNanos;

  /** Time of the last purge of each object; the key of a group is its bitwise complement. */
  private final Map<Long, Long> purgedAtNanosByKey = new TreeMap<>();

  /** Creates a log of purges that every cache has applied after the given number of nanoseconds. */
  PurgeLog(long propagationNanos) {
    this.propagationNanos = propagationNanos;
  }

  /**
   * Records a purge of an object or, with object 0, of all objects of a group, at the given time in
   * nanoseconds.
   */
  void record(long object, int group, long purgedAtNanos, long nowNanos) {
    purgedAtNanosByKey.values().removeIf(at -> nowNanos - at > propagationNanos);
    purgedAtNanosByKey.merge(object != 0 ? object : groupKey(group), purgedAtNanos, Math::max);
  }

  /**
   * Returns the maximum age of a copy of an object that may be returned, in nanoseconds. Guards
   * against purged copies until all caches have dropped theirs.
   *
   * @param unpurgedMaxAgeNanos the maximum age without a purge; 0 for unbounded
   */
  long maxCopyAgeNanos(long object, int group, long unpurgedMaxAgeNanos, long nowNanos) {
    long lastPurgedAtNanos =
        Math.max(
            purgedAtNanosByKey.getOrDefault(object, 0L),
            Math.max(
                purgedAtNanosByKey.getOrDefault(groupKey(group), 0L),
                purgedAtNanosByKey.getOrDefault(groupKey(EndpointListener.ALL_GROUPS), 0L)));
    long purgedMaxAgeNanos =
        Math.max(CLOCK_MARGIN_NANOS, nowNanos - lastPurgedAtNanos - CLOCK_MARGIN_NANOS);
    boolean isPropagating = nowNanos - lastPurgedAtNanos <= propagationNanos;
    return isPropagating && (unpurgedMaxAgeNanos == 0 || purgedMaxAgeNanos < unpurgedMaxAgeNanos)
        ? purgedMaxAgeNanos
        : unpurgedMaxAgeNanos;
  }

  private static long groupKey(int group) {
    return ~(long) group;
  }
}
