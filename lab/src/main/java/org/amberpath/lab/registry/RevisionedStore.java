package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * What a key-value registry with revisions holds: every change in order, from which any state that
 * is not compacted can be had. One revision may change several keys.
 *
 * @param <V> a key's value
 */
final class RevisionedStore<V> {
  /** A key at some revision. */
  record Kept<V>(V value, long created, long changed) {}

  /** A key that was written at a revision, or deleted where kept is null. */
  record Event<V>(long revision, String key, Kept<V> kept) {}

  final String cluster;
  private final List<Event<V>> events = new ArrayList<>();
  private final TreeMap<String, Kept<V>> now = new TreeMap<>();

  /** The state at the revision below which nothing is kept. */
  private final TreeMap<String, Kept<V>> base = new TreeMap<>();

  private long revision = 1, compacted;

  RevisionedStore(String cluster) {
    this.cluster = cluster;
  }

  /** The same as it was, under another cluster's id or its own: what a backup is. */
  RevisionedStore<V> copy(String other) {
    RevisionedStore<V> copy = new RevisionedStore<>(other);
    copy.events.addAll(events);
    copy.now.putAll(now);
    copy.base.putAll(base);
    copy.revision = revision;
    copy.compacted = compacted;
    return copy;
  }

  long revision() {
    return revision;
  }

  long compacted() {
    return compacted;
  }

  Map<String, Kept<V>> now() {
    return now;
  }

  /**
   * Writes keys in one transaction; a null value deletes. A deletion of what is not there is no
   * change.
   */
  long write(Map<String, V> writes) {
    long next = revision + 1;
    writes.forEach(
        (key, value) -> {
          Kept<V> before = now.get(key);
          if (value != null) {
            Kept<V> kept = new Kept<>(value, before == null ? next : before.created, next);
            now.put(key, kept);
            events.add(new Event<>(next, key, kept));
            revision = next;
          } else if (before != null) {
            now.remove(key);
            events.add(new Event<>(next, key, null));
            revision = next;
          }
        });
    return revision;
  }

  void compact(long upTo) {
    int at = 0;
    for (; at < events.size() && events.get(at).revision <= upTo; at++) {
      apply(base, events.get(at));
    }
    events.subList(0, at).clear();
    compacted = Math.max(compacted, Math.min(upTo, revision));
  }

  /** The state at a revision that is not compacted. */
  NavigableMap<String, Kept<V>> at(long wanted) {
    if (wanted == revision) {
      return now;
    }
    TreeMap<String, Kept<V>> state = new TreeMap<>(base);
    for (Event<V> event : events) {
      if (event.revision > wanted) {
        break;
      }
      apply(state, event);
    }
    return state;
  }

  /** Events from a revision to another, both taken in. */
  List<Event<V>> between(long from, long to) {
    int low = 0, high = events.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (events.get(middle).revision < from) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    int end = low;
    while (end < events.size() && events.get(end).revision <= to) {
      end++;
    }
    return events.subList(low, end);
  }

  private static <V> void apply(Map<String, Kept<V>> state, Event<V> event) {
    if (event.kept == null) {
      state.remove(event.key);
    } else {
      state.put(event.key, event.kept);
    }
  }
}
