package org.amberpath.registry;

/**
 * One change of a key, as a watch delivers it.
 *
 * @param revision the revision at which the key was written or deleted
 * @param entry the key's state at that revision; null if the key was deleted
 */
public record WatchEvent(long revision, String key, RegistryEntry entry) {}
