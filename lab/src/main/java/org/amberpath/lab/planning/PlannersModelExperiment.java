package org.amberpath.lab.planning;

import org.amberpath.lab.simulation.SeededRuns;

/** The pure halves of planners and forwarders on a virtual clock. */
public final class PlannersModelExperiment {
  /** One run from a seed. */
  public static final SeededRuns.Model MODEL =
      (seed, trace) -> new PlannersModel(seed, trace).run();

  private PlannersModelExperiment() {}
}
