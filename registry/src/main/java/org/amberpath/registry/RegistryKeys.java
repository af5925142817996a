package org.amberpath.registry;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The entries of a view by key. An entry whose value is unreadable keeps the last readable value
 * while its key is the same one. Bounds: maxKeys keys; one past them is passed over with a log
 * line, while those that are here are followed.
 */
final class RegistryKeys {
  private final int maxKeys;
  private final Consumer<String> log;
  private Map<String, RegistryEntry> entries = new TreeMap<>();
  private boolean isOverfull;

  RegistryKeys(int maxKeys, Consumer<String> log) {
    this.maxKeys = maxKeys;
    this.log = log;
  }

  /** All entries, in the order of their keys. */
  Map<String, RegistryEntry> all() {
    return Collections.unmodifiableMap(entries);
  }

  /** The entry of a key; null where there is none. */
  RegistryEntry get(String key) {
    return entries.get(key);
  }

  boolean contains(String key) {
    return entries.containsKey(key);
  }

  int count() {
    return entries.size();
  }

  /** Whether keys were passed over, so that these are not all. */
  boolean isOverfull() {
    return isOverfull;
  }

  /** Replaces all entries by these, as they are; returns those before. */
  Map<String, RegistryEntry> replaceAll(Collection<RegistryEntry> all) {
    Map<String, RegistryEntry> before = entries;
    Map<String, RegistryEntry> replaced = new TreeMap<>();
    isOverfull = false;
    for (RegistryEntry entry : all) {
      if (replaced.size() < maxKeys || replaced.containsKey(entry.key())) {
        replaced.put(entry.key(), entry);
      } else {
        passedOver();
      }
    }
    entries = replaced;
    return before;
  }

  /** Takes the last readable values from earlier entries where these are unreadable. */
  void keepReadable(Map<String, RegistryEntry> before) {
    for (Map.Entry<String, RegistryEntry> entry : entries.entrySet()) {
      entry.setValue(lastReadable(before.get(entry.getKey()), entry.getValue()));
    }
  }

  /** Puts an entry, and notes what was there before it under its key, null for nothing. */
  void put(RegistryEntry entry, Map<String, RegistryEntry> before) {
    RegistryEntry old = entries.get(entry.key());
    if (old == null && entries.size() >= maxKeys) {
      passedOver();
      return;
    }
    before.putIfAbsent(entry.key(), old);
    entries.put(entry.key(), lastReadable(old, entry));
  }

  /** Removes a key, and notes what was there before. */
  void remove(String key, Map<String, RegistryEntry> before) {
    before.putIfAbsent(key, entries.remove(key));
  }

  private void passedOver() {
    if (!isOverfull) {
      isOverfull = true;
      log.accept("more than " + maxKeys + " keys: those past it are passed over");
    }
  }

  private RegistryEntry lastReadable(RegistryEntry old, RegistryEntry entry) {
    if (!(entry.value() instanceof RegistryRecord.Unreadable unreadable)) {
      return entry;
    }
    if (old == null || old.modRevision() != entry.modRevision()) {
      log.accept(entry.key() + ": " + unreadable.reason());
    }
    return old != null && old.createRevision() == entry.createRevision()
        ? entry.withValue(old.value())
        : entry;
  }
}
