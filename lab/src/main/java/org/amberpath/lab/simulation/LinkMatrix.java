package org.amberpath.lab.simulation;

import java.util.Arrays;

/** The one-way links between the processes of a model, each of which is up or cut. */
public final class LinkMatrix {
  private final Simulation simulation;
  private final boolean[][] cut;

  /** Creates the links between the given number of processes, none of them cut. */
  public LinkMatrix(Simulation simulation, int processes) {
    this.simulation = simulation;
    cut = new boolean[processes][processes];
  }

  /** Returns whether the link from one process to another is cut. */
  public boolean isCut(int from, int to) {
    return cut[from][to];
  }

  /** Cuts the link in one direction, and restores it after the given time. */
  public void cutFor(long durationNanos, int from, int to) {
    cut[from][to] = true;
    simulation.after(durationNanos, () -> cut[from][to] = false);
  }

  /**
   * Partitions the processes into two sides: cuts all links between the sides in both directions,
   * and restores them after the given time.
   *
   * @param side the side of each process, by its index
   */
  public void partitionFor(long durationNanos, boolean[] side) {
    setLinksBetween(side, true);
    simulation.after(durationNanos, () -> setLinksBetween(side, false));
  }

  /** Restores all links that are cut. */
  public void restoreAll() {
    for (boolean[] row : cut) {
      Arrays.fill(row, false);
    }
  }

  private void setLinksBetween(boolean[] side, boolean isCut) {
    for (int from = 0; from < side.length; from++) {
      for (int to = 0; to < side.length; to++) {
        if (side[from] != side[to]) {
          cut[from][to] = isCut;
        }
      }
    }
  }
}
