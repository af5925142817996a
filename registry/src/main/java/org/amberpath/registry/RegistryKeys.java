package org.amberpath.registry;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The entries of a view by key. An entry whose value can't be decoded keeps the last readable
 * value, as long as its key was not deleted and created again. Bounds: maxKeys keys. Further keys
 * are skipped with one log line, while changes to the known ones are still applied.
 */
final class RegistryKeys {
  private final int maxKeys;
  private final Consumer<String> log;
  private Map<String, RegistryEntry> entries = new TreeMap<>();
  private boolean isTruncated;

  RegistryKeys(int maxKeys, Consumer<String> log) {
    this.maxKeys = maxKeys;
    this.log = log;
  }

  /** All entries, ordered by key. */
  Map<String, RegistryEntry> all() {
    return Collections.unmodifiableMap(entries);
  }

  /** Returns the entry of a key; null if there is none. */
  RegistryEntry get(String key) {
    return entries.get(key);
  }

  boolean contains(String key) {
    return entries.containsKey(key);
  }

  int count() {
    return entries.size();
  }

  /** Whether keys were skipped at the limit, so that the entries are incomplete. */
  boolean isTruncated() {
    return isTruncated;
  }

  /** Replaces all entries as given and returns the previous ones. */
  Map<String, RegistryEntry> replaceAll(Collection<RegistryEntry> newEntries) {
    Map<String, RegistryEntry> before = entries;
    Map<String, RegistryEntry> kept = new TreeMap<>();
    isTruncated = false;
    for (RegistryEntry entry : newEntries) {
      if (kept.size() < maxKeys || kept.containsKey(entry.key())) {
        kept.put(entry.key(), entry);
      } else {
        recordOverflow();
      }
    }
    entries = kept;
    return before;
  }

  /** Replaces unreadable values by the readable ones of the earlier entries. */
  void keepReadable(Map<String, RegistryEntry> before) {
    for (Map.Entry<String, RegistryEntry> entry : entries.entrySet()) {
      entry.setValue(lastReadable(before.get(entry.getKey()), entry.getValue()));
    }
  }

  /** Puts an entry and records the previous one of its key, null for none, in {@code before}. */
  void put(RegistryEntry entry, Map<String, RegistryEntry> before) {
    RegistryEntry previous = entries.get(entry.key());
    if (previous == null && entries.size() >= maxKeys) {
      recordOverflow();
      return;
    }
    before.putIfAbsent(entry.key(), previous);
    entries.put(entry.key(), lastReadable(previous, entry));
  }

  /** Removes a key and records its previous entry in {@code before}. */
  void remove(String key, Map<String, RegistryEntry> before) {
    before.putIfAbsent(key, entries.remove(key));
  }

  private void recordOverflow() {
    if (!isTruncated) {
      isTruncated = true;
      log.accept(
          "the registry holds more than "
              + maxKeys
              + " keys (most-keys): further keys are ignored");
    }
  }

  private RegistryEntry lastReadable(RegistryEntry previous, RegistryEntry entry) {
    if (!(entry.value() instanceof RegistryRecord.Unreadable unreadable)) {
      return entry;
    }
    if (previous == null || previous.modRevision() != entry.modRevision()) {
      log.accept(entry.key() + ": value can't be decoded: " + unreadable.reason());
    }
    return previous != null && previous.createRevision() == entry.createRevision()
        ? entry.withValue(previous.value())
        : entry;
  }
}
