package org.amberpath.lab;

import java.util.Arrays;

/**
 * Chooses the object that a client requests: by Zipf's law, or from the default set of {@value
 * #DEFAULT_OBJECT_COUNT} objects.
 */
final class ObjectChoice {
  private static final int DEFAULT_OBJECT_COUNT = 64;

  /** The cumulative probability of each object and all before it; empty for the default set. */
  private final double[] cumulativeProbabilities;

  private ObjectChoice(double[] cumulativeProbabilities) {
    this.cumulativeProbabilities = cumulativeProbabilities;
  }

  /**
   * Returns a choice among the default objects, in which lower numbers are requested more often.
   */
  static ObjectChoice defaultObjects() {
    return new ObjectChoice(new double[0]);
  }

  /** Returns a choice among the given number of objects, by Zipf's law with this exponent. */
  static ObjectChoice zipf(int objectCount, double exponent) {
    double[] cumulativeProbabilities = new double[objectCount];
    double sum = 0;
    for (int object = 0; object < objectCount; object++) {
      sum += Math.pow(object + 1, -exponent);
      cumulativeProbabilities[object] = sum;
    }
    for (int object = 0; object < objectCount; object++) {
      cumulativeProbabilities[object] /= sum;
    }
    return new ObjectChoice(cumulativeProbabilities);
  }

  /**
   * Returns the name of the object (16 hex digits) that a number drawn evenly from [0, 1) selects.
   */
  String objectName(double uniform) {
    return String.format("%016x", objectNumber(uniform));
  }

  private long objectNumber(double uniform) {
    if (cumulativeProbabilities.length == 0) {
      return 1 + (long) (uniform * uniform * DEFAULT_OBJECT_COUNT);
    }
    int found = Arrays.binarySearch(cumulativeProbabilities, uniform);
    return 1L + Math.min(cumulativeProbabilities.length - 1, found < 0 ? -found - 1 : found);
  }
}
