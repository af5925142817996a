package org.amberpath.registry;

/**
 * One key and its value.
 *
 * @param createRevision the revision at which the key was created; a key that was deleted and
 *     created again is a different entry under the same name
 * @param modRevision the revision at which the value was last written
 */
public record RegistryEntry(
    String key, RegistryRecord value, long createRevision, long modRevision) {
  RegistryEntry withValue(RegistryRecord other) {
    return new RegistryEntry(key, other, createRevision, modRevision);
  }
}
