package org.amberpath.registry;

import org.amberpath.routing.EndpointState;

/** Entries and events that tests of this package share. */
final class RegistryFixtures {
  static final String PREFIX = "p/";
  static final String TIP_KEY = PREFIX + "tip";

  private RegistryFixtures() {}

  /** An endpoint under its id. */
  static RegistryEntry endpoint(
      String id, EndpointState state, long createRevision, long modRevision) {
    return new RegistryEntry(
        PREFIX + id,
        new RegistryRecord.Cache(id, "127.0.0.1:1", "z", "k", 0, state, 1, 0),
        createRevision,
        modRevision);
  }

  /** The tip, as it was last written. */
  static RegistryEntry tip(long modRevision) {
    return new RegistryEntry(TIP_KEY, new RegistryRecord.Other(), 2, modRevision);
  }

  /** The event of a watch that brings an entry. */
  static WatchEvent put(RegistryEntry entry) {
    return new WatchEvent(entry.modRevision(), entry.key(), entry);
  }
}
