package org.amberpath.registry;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.amberpath.routing.EndpointState;

/** The decoded value of one key. docs/operate/registry.md defines keys and values. */
public sealed interface RegistryRecord {
  /**
   * A cache endpoint.
   *
   * @param id the endpoint's stable id, which is the last part of its key
   * @param cell number of the shelf or rack; empty if the record leaves it out
   * @param weight the cache's size; empty if the record leaves it out
   * @param startedAtMs when the cache started, in Unix milliseconds of its writer's clock; 0 for
   *     long ago
   */
  record Cache(
      String id,
      String address,
      String zone,
      String kind,
      OptionalInt cell,
      EndpointState state,
      OptionalDouble weight,
      long startedAtMs)
      implements RegistryRecord {}

  /**
   * A purge of one object or, if {@code object} is 0, of a group.
   *
   * @param issuedAtMs when the purge was issued, in Unix milliseconds of its writer's clock
   */
  record Purge(long object, int group, long issuedAtMs) implements RegistryRecord {}

  /**
   * The leader of one task. Its key is a fence: each transaction of the leader writes it, so a
   * transaction of a superseded leader fails.
   *
   * @param term the leader's term, which only grows
   * @param leader the leader's name
   */
  record Task(long term, String leader) implements RegistryRecord {}

  /**
   * A key that is about neither endpoints, purges nor tasks: the tip, and keys that a later version
   * may add.
   */
  record Other() implements RegistryRecord {}

  /**
   * A value that this version can't decode.
   *
   * @param reason what is wrong, for the log
   */
  record Unreadable(String reason) implements RegistryRecord {}
}
