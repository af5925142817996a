package org.amberpath.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.amberpath.routing.EndpointState;

/**
 * A key-value store with revisions, history, compaction, backup and restore, which {@link
 * SeededRegistryWorld} simulates. All randomness comes from that world's generator.
 */
final class SeededRegistryStore {
  static final String PREFIX = "p/";
  static final String TIP_KEY = "p/tip";

  private final SplittableRandom random;
  private final int keyCount;
  private final long startMillis;
  private final List<WatchEvent> history = new ArrayList<>();
  private TreeMap<String, RegistryEntry> entries = new TreeMap<>();
  private TreeMap<String, RegistryEntry> backup = new TreeMap<>();
  private long backupRevision;
  private long revision;
  private long compactedRevision;
  private int clusterNumber = 1;

  SeededRegistryStore(SplittableRandom random, int keyCount, long startMillis) {
    this.random = random;
    this.keyCount = keyCount;
    this.startMillis = startMillis;
  }

  String cluster() {
    return "c" + clusterNumber;
  }

  long revision() {
    return revision;
  }

  long tipRevision() {
    RegistryEntry tip = entries.get(TIP_KEY);
    return tip == null ? 0 : tip.modRevision();
  }

  boolean isCompacted(long requestedRevision) {
    return requestedRevision <= compactedRevision;
  }

  int count() {
    return entries.size();
  }

  /** The entries last written at a revision or later, ordered by key. */
  List<RegistryEntry> entriesWrittenSince(long sinceRevision) {
    return entries.values().stream().filter(entry -> entry.modRevision() >= sinceRevision).toList();
  }

  /** All watch events since the first revision, in order. */
  List<WatchEvent> history() {
    return history;
  }

  /** Index in the history of the first event at a revision or later. */
  int historyIndex(long fromRevision) {
    int index = history.size();
    while (index > 0 && history.get(index - 1).revision() >= fromRevision) {
      index--;
    }
    return index;
  }

  /**
   * Commits a transaction of one to three keys, which in eleven of twelve cases writes the tip too.
   */
  void write(long nowMillis) {
    revision++;
    int writes = random.nextInt(8) == 0 ? 2 + random.nextInt(2) : 1;
    for (int write = 0; write < writes; write++) {
      writeRandomKey(nowMillis, random.nextInt(keyCount));
    }
    if (random.nextInt(12) > 0) {
      put(TIP_KEY, new RegistryRecord.Other());
    }
  }

  private void writeRandomKey(long nowMillis, int number) {
    int kind = random.nextInt(20);
    if (kind < 3) {
      delete(PREFIX + "caches/" + number);
    } else if (kind < 6) {
      int group = random.nextInt(4);
      put(PREFIX + "purges/" + number, new RegistryRecord.Purge(number % 3, group, nowMillis));
    } else if (kind == 6) {
      delete(PREFIX + "purges/" + number);
    } else if (kind == 7) {
      put(PREFIX + "caches/" + number, new RegistryRecord.Unreadable("spoilt " + number));
    } else if (kind == 8) {
      put(PREFIX + "tasks/" + number % 3, new RegistryRecord.Task(revision, "g" + number));
    } else {
      put(PREFIX + "caches/" + number, cache(number, nowMillis));
    }
  }

  private RegistryRecord cache(int number, long nowMillis) {
    EndpointState state = random.nextInt(3) == 0 ? EndpointState.DRAINING : EndpointState.UP;
    long started = random.nextBoolean() ? 0 : nowMillis - random.nextLong(10_000);
    return new RegistryRecord.Cache(
        "e" + number,
        "127.0.0.1:" + (7000 + number),
        "z",
        "box",
        OptionalInt.of(number % 3),
        state,
        OptionalDouble.of(4),
        started);
  }

  private void put(String key, RegistryRecord value) {
    RegistryEntry before = entries.get(key);
    long created = before == null ? revision : before.createRevision();
    RegistryEntry entry = new RegistryEntry(key, value, created, revision);
    entries.put(key, entry);
    history.add(new WatchEvent(revision, key, entry));
  }

  private void delete(String key) {
    if (entries.remove(key) != null) {
      history.add(new WatchEvent(revision, key, null));
    }
  }

  /** Compacts the history up to a random recent revision. */
  void compact() {
    compactedRevision = Math.max(compactedRevision, revision - random.nextLong(4));
  }

  void takeBackup() {
    backup = new TreeMap<>(entries);
    backupRevision = revision;
  }

  /** Restores the backup: later revisions will be assigned again. */
  void restore() {
    entries = new TreeMap<>(backup);
    revision = backupRevision;
    compactedRevision = Math.min(compactedRevision, revision);
    history.subList(historyIndex(revision + 1), history.size()).clear();
  }

  /** Restores the backup under a new cluster id. */
  void replaceCluster() {
    clusterNumber++;
    restore();
  }

  /** The entries of an unrelated registry. */
  List<RegistryEntry> foreignEntries() {
    Map<String, RegistryEntry> foreign = new TreeMap<>();
    RegistryRecord cache = cache(1000, startMillis);
    foreign.put("p/caches/1000", new RegistryEntry("p/caches/1000", cache, 800, 899));
    foreign.put(TIP_KEY, new RegistryEntry(TIP_KEY, new RegistryRecord.Other(), 1, 899));
    return new ArrayList<>(foreign.values());
  }
}
