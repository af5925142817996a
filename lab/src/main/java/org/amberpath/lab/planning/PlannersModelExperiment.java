package org.amberpath.lab.planning;

import org.amberpath.lab.simulation.SeededRuns;

/** Runs the I/O-free parts of planners and forwarders on a virtual clock. */
public final class PlannersModelExperiment {
  /** Runs the model once from a seed. */
  public static final SeededRuns.Model MODEL =
      (seed, trace) -> new PlannersModel(seed, trace).run();

  private PlannersModelExperiment() {}
}
