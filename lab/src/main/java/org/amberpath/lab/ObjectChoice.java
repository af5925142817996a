package org.amberpath.lab;

import java.util.Arrays;

/**
 * Chooses the object that a client requests: by Zipf's law, or from the default set of {@value
 * #DEFAULT_OBJECTS} objects.
 */
final class ObjectChoice {
  private static final int DEFAULT_OBJECTS = 64;

  /** The cumulative probability of each object and all before it; empty for the default set. */
  private final double[] cumulative;

  private ObjectChoice(double[] cumulative) {
    this.cumulative = cumulative;
  }

  /**
   * Returns a choice among the default objects, in which lower numbers are requested more often.
   */
  static ObjectChoice usual() {
    return new ObjectChoice(new double[0]);
  }

  /** Returns a choice among the given number of objects, by Zipf's law with this exponent. */
  static ObjectChoice zipf(int objects, double exponent) {
    double[] cumulative = new double[objects];
    double sum = 0;
    for (int object = 0; object < objects; object++) {
      sum += Math.pow(object + 1, -exponent);
      cumulative[object] = sum;
    }
    for (int object = 0; object < objects; object++) {
      cumulative[object] /= sum;
    }
    return new ObjectChoice(cumulative);
  }

  /**
   * Returns the name of the object (16 hex digits) that a number drawn evenly from [0, 1) selects.
   */
  String name(double uniform) {
    return String.format("%016x", number(uniform));
  }

  private long number(double uniform) {
    if (cumulative.length == 0) {
      return 1 + (long) (uniform * uniform * DEFAULT_OBJECTS);
    }
    int found = Arrays.binarySearch(cumulative, uniform);
    return 1L + Math.min(cumulative.length - 1, found < 0 ? -found - 1 : found);
  }
}
