package org.amberpath.lab.simulation;

import java.util.Arrays;

/** Which links between the processes of a model, one way each, let nothing through. */
public final class LinkMatrix {
  private final Simulation simulation;
  private final boolean[][] cut;

  /** All links between so many processes, none of them cut. */
  public LinkMatrix(Simulation simulation, int processes) {
    this.simulation = simulation;
    cut = new boolean[processes][processes];
  }

  /** Whether nothing passes from one process to another. */
  public boolean isCut(int from, int to) {
    return cut[from][to];
  }

  /** Cuts one link, one way, for a time. */
  public void cutFor(long durationNanos, int from, int to) {
    cut[from][to] = true;
    simulation.after(durationNanos, () -> cut[from][to] = false);
  }

  /**
   * Cuts all links between two sides, both ways, for a time.
   *
   * @param side of each process, which side it is on
   */
  public void partitionFor(long durationNanos, boolean[] side) {
    setBetween(side, true);
    simulation.after(durationNanos, () -> setBetween(side, false));
  }

  /** Restores all links. */
  public void restoreAll() {
    for (boolean[] row : cut) {
      Arrays.fill(row, false);
    }
  }

  private void setBetween(boolean[] side, boolean isCut) {
    for (int from = 0; from < side.length; from++) {
      for (int to = 0; to < side.length; to++) {
        if (side[from] != side[to]) {
          cut[from][to] = isCut;
        }
      }
    }
  }
}
