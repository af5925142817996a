package org.amberpath.registry;

/**
 * One key as the registry holds it.
 *
 * @param createRevision revision at which the key came to be; another one under the same key is
 *     another thing
 * @param modRevision revision at which its value was last written
 */
public record RegistryEntry(
    String key, RegistryRecord value, long createRevision, long modRevision) {
  RegistryEntry withValue(RegistryRecord other) {
    return new RegistryEntry(key, other, createRevision, modRevision);
  }
}
