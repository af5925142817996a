package org.amberpath.registry;

/**
 * One event of a watch.
 *
 * @param entry the key as it is since this revision; null where it was deleted
 */
public record WatchEvent(long revision, String key, RegistryEntry entry) {}
