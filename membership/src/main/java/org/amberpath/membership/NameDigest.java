package org.amberpath.membership;

/**
 * Digests of sets of names: the sum of a 64-bit hash of each name, so that the order doesn't
 * matter. Members compare digests in place of whole lists. The hash is part of the wire form: all
 * members must compute the same one.
 */
final class NameDigest {
  private static final long SEED = 0x9e3779b97f4a7c15L;
  private static final long MULTIPLIER = 0xbf58476d1ce4e5b9L;
  private static final int SHIFT = 29;

  private NameDigest() {}

  static long hash(String name) {
    long value = SEED;
    for (int at = 0; at < name.length(); at++) {
      value = (value ^ name.charAt(at)) * MULTIPLIER;
      value ^= value >>> SHIFT;
    }
    return value;
  }
}
