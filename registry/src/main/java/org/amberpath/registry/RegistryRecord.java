package org.amberpath.registry;

import org.amberpath.routing.EndpointState;

/** What the value of one key says. Keys and values are those of docs/operate/registry.md. */
public sealed interface RegistryRecord {
  /**
   * A cache under its stable id, the last part of its key. Times are Unix milliseconds, 0 for long
   * ago.
   */
  record Cache(
      String id,
      String address,
      String zone,
      String kind,
      int cell,
      EndpointState state,
      double weight,
      long startedAtMs)
      implements RegistryRecord {}

  /** A purge of one object or, with object 0, of a group, by the clock of who wrote it. */
  record Purge(long object, int group, long atMs) implements RegistryRecord {}

  /**
   * Who acts for the fleet on one task, and under which term: a fence, which each of its writes
   * moves.
   */
  record Task(long term, String by) implements RegistryRecord {}

  /** Says nothing of caches: the tip, and keys that a later version may add. */
  record Other() implements RegistryRecord {}

  /** Says something that this version can't read. */
  record Unreadable(String reason) implements RegistryRecord {}
}
