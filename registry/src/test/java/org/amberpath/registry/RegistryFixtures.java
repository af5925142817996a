package org.amberpath.registry;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.amberpath.routing.EndpointState;

/** Entries and events that the tests of this package share. */
final class RegistryFixtures {
  static final String PREFIX = "p/";
  static final String TIP_KEY = PREFIX + "tip";

  private RegistryFixtures() {}

  /** Creates the entry of an endpoint. */
  static RegistryEntry endpoint(
      String id, EndpointState state, long createRevision, long modRevision) {
    return new RegistryEntry(
        PREFIX + id,
        new RegistryRecord.Cache(
            id, "127.0.0.1:1", "z", "k", OptionalInt.of(0), state, OptionalDouble.of(1), 0),
        createRevision,
        modRevision);
  }

  /** Creates the tip's entry. */
  static RegistryEntry tip(long modRevision) {
    return new RegistryEntry(TIP_KEY, new RegistryRecord.Other(), 2, modRevision);
  }

  /** Creates the watch event that delivers an entry. */
  static WatchEvent put(RegistryEntry entry) {
    return new WatchEvent(entry.modRevision(), entry.key(), entry);
  }
}
