package org.amberpath.registry;

/**
 * One key as the registry holds it.
 *
 * @param created revision at which the key came to be; another one under the same key is another
 *     thing
 * @param changed revision at which its value was last written
 */
public record RegistryEntry(String key, RegistryRecord content, long created, long changed) {
  RegistryEntry saying(RegistryRecord other) {
    return new RegistryEntry(key, other, created, changed);
  }
}
