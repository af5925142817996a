package org.amberpath.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The most recent starts of recently requested objects. Holds at most 8,192 objects; the object
 * that was started longest ago is evicted first.
 */
final class ObjectHistory {
  private static final int MAX_OBJECTS = 8192;

  private static final class Entry {
    long lastStartNanos;
    long previousStartNanos;
    long shortestResponseNanos;
    long lastPart;
  }

  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  /**
   * Records a request. If other gateways serve the zone, a part that does not come after the last
   * one seen belongs to another playback and counts as a start (docs/design.md, "Departures, and
   * when they come into play").
   *
   * @param isZoneShared whether other gateways serve the same zone
   * @return time of the object's start before the latest one, in nanoseconds; 0 if there is none
   */
  long observe(long object, int part, boolean isZoneShared, long nowNanos) {
    Entry entry = entries.get(object);
    boolean isOtherPlayback = isZoneShared && (entry == null || part <= entry.lastPart);
    if (part == 0 || isOtherPlayback) {
      entry = recordStart(object, nowNanos);
    }
    if (entry == null) {
      return 0;
    }
    entry.lastPart = part;
    return entry.previousStartNanos;
  }

  private Entry recordStart(long object, long nowNanos) {
    Entry entry = entries.remove(object);
    entry = entry == null ? new Entry() : entry;
    entry.previousStartNanos = entry.lastStartNanos;
    entry.lastStartNanos = nowNanos;
    entries.put(object, entry);
    if (entries.size() > MAX_OBJECTS) {
      entries.remove(entries.keySet().iterator().next());
    }
    return entry;
  }

  /**
   * Returns the time of the object's start before the latest one, in nanoseconds; 0 if there is
   * none.
   */
  long previousStartNanos(long object) {
    Entry entry = entries.get(object);
    return entry == null ? 0 : entry.previousStartNanos;
  }

  /** Records the duration of a response, in nanoseconds. */
  void recordResponseTime(long object, long durationNanos) {
    Entry entry = entries.get(object);
    if (entry != null) {
      entry.shortestResponseNanos =
          entry.shortestResponseNanos == 0
              ? durationNanos
              : Math.min(entry.shortestResponseNanos, durationNanos);
    }
  }

  /**
   * Returns the shortest response time of an object, in nanoseconds, which is used if its size is
   * unknown; 0 if there is none.
   */
  long shortestResponseNanos(long object) {
    Entry entry = entries.get(object);
    return entry == null ? 0 : entry.shortestResponseNanos;
  }
}
