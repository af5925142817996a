package org.amberpath.planning;

import java.util.Arrays;

/** Divides a bound into shares that are max-min fair. */
public final class MaxMinFairShare {
  private MaxMinFairShare() {}

  /**
   * Max-min fair shares by water-filling: the most even division in which no share is larger than
   * wanted, except for the floor.
   *
   * @param wanted the amount that each participant could use; an amount below the floor counts as
   *     the floor
   * @param floor the minimum share; the floor times the number of shares must not exceed the bound
   * @return the shares in the order of {@code wanted}, whose sum is at most the bound
   */
  public static double[] of(double bound, double[] wanted, double floor) {
    int count = wanted.length;
    Integer[] ascending = new Integer[count];
    Arrays.setAll(ascending, index -> index);
    Arrays.sort(
        ascending, (a, b) -> wanted[a] != wanted[b] ? Double.compare(wanted[a], wanted[b]) : a - b);
    double[] shares = new double[count];
    double remaining = bound;
    for (int position = 0; position < count; position++) {
      int index = ascending[position];
      double equalShare = remaining / (count - position);
      shares[index] = Math.min(equalShare, Math.max(floor, wanted[index]));
      remaining -= shares[index];
    }
    return shares;
  }
}
