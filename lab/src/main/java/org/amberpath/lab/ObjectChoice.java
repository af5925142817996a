package org.amberpath.lab;

import java.util.Arrays;

/** Which object a client asks for: by Zipf's law, or the usual few. */
final class ObjectChoice {
  private static final int DEFAULT_OBJECTS = 64;

  /** Of each object, how likely it or one before it is asked for; empty for the usual few. */
  private final double[] cumulative;

  private ObjectChoice(double[] cumulative) {
    this.cumulative = cumulative;
  }

  /** A few objects, the first most often. */
  static ObjectChoice usual() {
    return new ObjectChoice(new double[0]);
  }

  /** So many objects, by Zipf's law with this exponent. */
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

  /** The name of the object for a number drawn evenly from 0 to 1. */
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
