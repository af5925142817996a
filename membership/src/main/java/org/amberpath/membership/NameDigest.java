package org.amberpath.membership;

/**
 * The hash from which digests of sets of names are made. A digest is the sum of the 64-bit hashes
 * of the names and does not depend on their order. Members compare digests instead of complete
 * lists. Digests are sent between members, so all members must compute the same hash.
 */
final class NameDigest {
  private static final long SEED = 0x9e3779b97f4a7c15L;
  private static final long MULTIPLIER = 0xbf58476d1ce4e5b9L;
  private static final int SHIFT = 29;

  private NameDigest() {}

  static long hash(String name) {
    long value = SEED;
    for (int index = 0; index < name.length(); index++) {
      value = (value ^ name.charAt(index)) * MULTIPLIER;
      value ^= value >>> SHIFT;
    }
    return value;
  }
}
