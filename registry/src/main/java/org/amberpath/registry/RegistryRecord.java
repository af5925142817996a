package org.amberpath.registry;

import org.amberpath.routing.EndpointState;

/** The decoded value of one key. Keys and values are those of docs/operate/registry.md. */
public sealed interface RegistryRecord {
  /**
   * An endpoint under its stable id, the last part of its key.
   *
   * @param startedAtMs when it started, in Unix milliseconds by its writer's clock; 0 for long ago
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

  /**
   * A purge of one object or, with object 0, of a group.
   *
   * @param atMs when, in Unix milliseconds by its writer's clock
   */
  record Purge(long object, int group, long atMs) implements RegistryRecord {}

  /**
   * The leader of one task. Its key is a fence: each transaction of the leader writes it, so that
   * one of a superseded leader fails.
   *
   * @param term the leader's term; it only grows
   * @param by the leader's name
   */
  record Task(long term, String by) implements RegistryRecord {}

  /** Not about endpoints or purges: the tip, and keys that a later version may add. */
  record Other() implements RegistryRecord {}

  /** A value that this version can't decode. */
  record Unreadable(String reason) implements RegistryRecord {}
}
