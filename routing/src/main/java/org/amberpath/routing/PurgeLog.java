package org.amberpath.routing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The purges of the last seconds, by object and group: while caches may still have older copies,
 * age tells them apart.
 */
final class PurgeLog {
  /**
   * Taken off the age that is allowed, since clocks and the purge's own time are not exact; and the
   * least age.
   */
  private static final long MARGIN_NANOS = 1_000_000L;

  private final long propagationNanos;

  /** When each object was purged last; a group is its own complement. */
  private final Map<Long, Long> purgedAt = new TreeMap<>();

  /** A log of purges that every cache has carried out after so many nanoseconds. */
  PurgeLog(long propagationNanos) {
    this.propagationNanos = propagationNanos;
  }

  /**
   * Notes that an object, or with object 0 a whole group, was purged at that time, in nanoseconds.
   */
  void record(long object, int group, long purgedAtNanos, long nowNanos) {
    purgedAt.values().removeIf(at -> nowNanos - at > propagationNanos);
    purgedAt.merge(object != 0 ? object : groupKey(group), purgedAtNanos, Math::max);
  }

  /**
   * The oldest copy of an object that may be returned, in nanoseconds. Guards against purged copies
   * until all caches have dropped theirs.
   *
   * @param oldestNanos the bound without a purge; 0 for none
   */
  long maxCopyAgeNanos(long object, int group, long oldestNanos, long nowNanos) {
    long purged =
        Math.max(
            purgedAt.getOrDefault(object, 0L),
            Math.max(
                purgedAt.getOrDefault(groupKey(group), 0L),
                purgedAt.getOrDefault(groupKey(EndpointListener.ALL_GROUPS), 0L)));
    long boundNanos = Math.max(MARGIN_NANOS, nowNanos - purged - MARGIN_NANOS);
    boolean mayBeCached = nowNanos - purged <= propagationNanos;
    return mayBeCached && (oldestNanos == 0 || boundNanos < oldestNanos) ? boundNanos : oldestNanos;
  }

  private static long groupKey(int group) {
    return ~(long) group;
  }
}
