package org.amberpath.registry;

/** One event of a watch; held is null where the key was deleted. */
public record WatchEvent(long revision, String key, RegistryEntry entry) {}
