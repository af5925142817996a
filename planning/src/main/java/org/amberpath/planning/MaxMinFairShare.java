package org.amberpath.planning;

import java.util.Arrays;

/**
 * How a bound is shared among those who ask: the most even way in which nobody has more than it
 * wants.
 */
public final class MaxMinFairShare {
  private MaxMinFairShare() {}

  /**
   * Max-min fair shares by water-filling.
   *
   * @param wanted what each could use; below the floor counts as the floor
   * @param floor what each has at the least; as many floors as there are must fit into the bound
   * @return shares that add up to the bound at most
   */
  public static double[] of(double bound, double[] wanted, double floor) {
    int many = wanted.length;
    Integer[] order = new Integer[many];
    Arrays.setAll(order, place -> place);
    Arrays.sort(
        order, (a, b) -> wanted[a] != wanted[b] ? Double.compare(wanted[a], wanted[b]) : a - b);
    double[] shares = new double[many];
    double left = bound;
    for (int place = 0; place < many; place++) {
      double even = left / (many - place);
      shares[order[place]] = Math.min(even, Math.max(floor, wanted[order[place]]));
      left -= shares[order[place]];
    }
    return shares;
  }
}
