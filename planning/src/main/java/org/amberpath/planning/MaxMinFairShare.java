package org.amberpath.planning;

import java.util.Arrays;

/** Divides a bound among those who want parts of it, max-min fair. */
public final class MaxMinFairShare {
  private MaxMinFairShare() {}

  /**
   * Max-min fair shares by water-filling: the most even division in which nobody has more than it
   * wants.
   *
   * @param wanted what each could use; less than the floor counts as the floor
   * @param floor the least share; as many floors as there are shares must fit into the bound
   * @return shares that add up to the bound at most
   */
  public static double[] of(double bound, double[] wanted, double floor) {
    int count = wanted.length;
    Integer[] ascending = new Integer[count];
    Arrays.setAll(ascending, index -> index);
    Arrays.sort(
        ascending, (a, b) -> wanted[a] != wanted[b] ? Double.compare(wanted[a], wanted[b]) : a - b);
    double[] shares = new double[count];
    double left = bound;
    for (int place = 0; place < count; place++) {
      int index = ascending[place];
      double even = left / (count - place);
      shares[index] = Math.min(even, Math.max(floor, wanted[index]));
      left -= shares[index];
    }
    return shares;
  }
}
