package org.amberpath.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What was asked for lately, for GETs of a gateway's own: the latest for a trial, and all of it in
 * turn, what was asked for most first, for what is filled ahead.
 *
 * <p>Bounds: as many keys as told; the one asked for longest ago goes. Counts are halved at each
 * new turn, so that what was asked for long ago wears off.
 */
public final class RecentRequests<K, V> {
  private static final class Asked<V> {
    V value;
    int times;
  }

  private final Map<K, Asked<V>> asked;
  private final List<V> startPass = new ArrayList<>();
  private V latest;

  /** Keeps so many at most. */
  public RecentRequests(int most) {
    asked =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<K, Asked<V>> eldest) {
            return size() > most;
          }
        };
  }

  public void add(K key, V value) {
    Asked<V> one = asked.computeIfAbsent(key, made -> new Asked<>());
    one.value = value;
    one.times++;
    latest = value;
  }

  /** Null where nothing was asked for yet. */
  public V latest() {
    return latest;
  }

  /** The next in turn; null at the end of a turn, after which another begins. */
  public V nextInPass() {
    return startPass.isEmpty() ? null : startPass.remove(startPass.size() - 1);
  }

  /** Begins a turn of what was asked for at least twice. */
  public void startPass() {
    startPass.clear();
    List<Asked<V>> all = new ArrayList<>(asked.values());
    all.removeIf(one -> one.times < 2);
    all.sort(Comparator.comparingInt(one -> one.times)); // The last goes first.
    all.forEach(one -> startPass.add(one.value));
    asked.values().forEach(one -> one.times -= one.times / 2);
  }
}
