package org.amberpath.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds recent client requests as models for synthetic requests: the latest one for health checks,
 * and passes over all of them in order of frequency for prefetches.
 *
 * <p>Bounded by a maximum number of keys; the least recently requested key is evicted. Counts are
 * halved at the start of each pass, so that old requests lose weight.
 *
 * @param <K> identifies what was requested
 * @param <V> the data that a synthetic request is made from
 */
public final class RecentRequests<K, V> {
  private static final int MIN_REQUESTS = 2;

  private static final class Entry<V> {
    V value;
    int requestCount;
  }

  private final Map<K, Entry<V>> entries;

  /** The values that remain in the current pass, in reverse order. */
  private final List<V> remainingInPass = new ArrayList<>();

  private V latestValue;

  /** Creates an empty collection that holds at most the given number of keys. */
  public RecentRequests(int maxKeys) {
    entries =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<K, Entry<V>> eldest) {
            return size() > maxKeys;
          }
        };
  }

  /** Counts a request; its value replaces the previous one of the same key. */
  public void add(K key, V value) {
    Entry<V> entry = entries.computeIfAbsent(key, missing -> new Entry<>());
    entry.value = value;
    entry.requestCount++;
    latestValue = value;
  }

  /** Returns the value of the latest request; null if there was none yet. */
  public V latest() {
    return latestValue;
  }

  /** Returns the next value of the current pass, the most frequent first; null at its end. */
  public V nextInPass() {
    return remainingInPass.isEmpty() ? null : remainingInPass.remove(remainingInPass.size() - 1);
  }

  /** Begins a pass over all keys that were requested at least twice, and halves all counts. */
  public void startPass() {
    remainingInPass.clear();
    List<Entry<V>> candidates = new ArrayList<>(entries.values());
    candidates.removeIf(entry -> entry.requestCount < MIN_REQUESTS);
    candidates.sort(Comparator.comparingInt(entry -> entry.requestCount));
    candidates.forEach(entry -> remainingInPass.add(entry.value));
    entries.values().forEach(entry -> entry.requestCount -= entry.requestCount / 2);
  }
}
