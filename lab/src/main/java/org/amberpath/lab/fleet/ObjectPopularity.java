package org.amberpath.lab.fleet;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Draws the object and the part that a client requests: objects by Zipf's law, parts uniformly. */
final class ObjectPopularity {
  static final int OBJECT_COUNT = 3000;
  static final int PARTS_PER_OBJECT = 4;
  private static final double ZIPF_EXPONENT = 0.9;

  private final double[] cumulativeWeights = new double[OBJECT_COUNT];

  ObjectPopularity() {
    double sum = 0;
    for (int index = 0; index < OBJECT_COUNT; index++) {
      sum += 1 / Math.pow(index + 1, ZIPF_EXPONENT);
      cumulativeWeights[index] = sum;
    }
  }

  /** Draws a key, which encodes the number of the object, from 1 on, and the part. */
  long drawKey(SplittableRandom random) {
    double drawn = random.nextDouble() * cumulativeWeights[OBJECT_COUNT - 1];
    int found = Arrays.binarySearch(cumulativeWeights, drawn);
    long object = 1L + (found < 0 ? -found - 1 : found);
    return key(object, random.nextInt(PARTS_PER_OBJECT));
  }

  static long key(long object, int part) {
    return object * PARTS_PER_OBJECT + part;
  }

  static long object(long key) {
    return key / PARTS_PER_OBJECT;
  }

  static int part(long key) {
    return (int) (key % PARTS_PER_OBJECT);
  }
}
