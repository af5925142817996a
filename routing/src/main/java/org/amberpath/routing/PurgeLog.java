package org.amberpath.routing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The purges of the last seconds, by object and group: while caches may still have older copies, a
 * bound on the age excludes them.
 */
final class PurgeLog {
  /**
   * Subtracted from the allowed age, since clocks and the time of the purge are not exact; also the
   * smallest age that is asked for.
   */
  private static final long MARGIN_NANOS = 1_000_000L;

  private final long propagationNanos;

  /** When each object was purged last; the key of a group is its complement. */
  private final Map<Long, Long> purgedAtNanosByKey = new TreeMap<>();

  /** A log of purges that every cache has carried out after so many nanoseconds. */
  PurgeLog(long propagationNanos) {
    this.propagationNanos = propagationNanos;
  }

  /**
   * Records that an object, or with object 0 a whole group, was purged at that time, in
   * nanoseconds.
   */
  void record(long object, int group, long purgedAtNanos, long nowNanos) {
    purgedAtNanosByKey.values().removeIf(at -> nowNanos - at > propagationNanos);
    purgedAtNanosByKey.merge(object != 0 ? object : groupKey(group), purgedAtNanos, Math::max);
  }

  /**
   * The oldest copy of an object that may be returned, in nanoseconds. Guards against purged copies
   * until all caches have dropped theirs.
   *
   * @param oldestNanos the bound without a purge; 0 for none
   */
  long maxCopyAgeNanos(long object, int group, long oldestNanos, long nowNanos) {
    long lastPurgedAtNanos =
        Math.max(
            purgedAtNanosByKey.getOrDefault(object, 0L),
            Math.max(
                purgedAtNanosByKey.getOrDefault(groupKey(group), 0L),
                purgedAtNanosByKey.getOrDefault(groupKey(EndpointListener.ALL_GROUPS), 0L)));
    long boundNanos = Math.max(MARGIN_NANOS, nowNanos - lastPurgedAtNanos - MARGIN_NANOS);
    boolean mayBeCached = nowNanos - lastPurgedAtNanos <= propagationNanos;
    return mayBeCached && (oldestNanos == 0 || boundNanos < oldestNanos) ? boundNanos : oldestNanos;
  }

  private static long groupKey(int group) {
    return ~(long) group;
  }
}
