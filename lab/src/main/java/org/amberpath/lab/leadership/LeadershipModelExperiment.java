package org.amberpath.lab.leadership;

import org.amberpath.lab.simulation.SeededRuns;

/**
 * Runs the leadership model on a virtual clock, with the implementation or with a faulty variant of
 * it.
 */
public final class LeadershipModelExperiment {
  private LeadershipModelExperiment() {}

  /** Returns the model of one variant, to be run with many seeds. */
  public static SeededRuns.Model model(LeadershipVariant variant) {
    return (seed, trace) -> new LeadershipModel(seed, variant, trace).run();
  }
}
