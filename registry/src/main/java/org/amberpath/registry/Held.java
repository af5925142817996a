package org.amberpath.registry;

/**
 * One key as the registry holds it.
 *
 * @param created revision at which the key came to be; another one under the same key is another thing
 * @param changed revision at which its value was last written
 */
public record Held(String key, Content content, long created, long changed) {
  Held saying(Content other) {
    return new Held(key, other, created, changed);
  }
}
