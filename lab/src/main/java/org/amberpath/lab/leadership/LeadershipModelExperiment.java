package org.amberpath.lab.leadership;

import org.amberpath.lab.simulation.SeededRuns;

/** Who leads a task, on a virtual clock, as implemented and in wrong ways. */
public final class LeadershipModelExperiment {
  private LeadershipModelExperiment() {}

  /** The model of one way to lead. */
  public static SeededRuns.Model model(LeadershipVariant variant) {
    return (seed, trace) -> new LeadershipModel(seed, variant, trace).run();
  }
}
