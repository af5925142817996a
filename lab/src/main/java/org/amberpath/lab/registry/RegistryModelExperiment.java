package org.amberpath.lab.registry;

import org.amberpath.lab.simulation.SeededRuns;

/** Entry point to {@link RegistryModel} for runs of many seeds. */
public final class RegistryModelExperiment {
  /** Runs the simulation once for a seed. */
  public static final SeededRuns.Model MODEL =
      (seed, trace) -> new RegistryModel(seed, trace).run();

  private RegistryModelExperiment() {}
}
