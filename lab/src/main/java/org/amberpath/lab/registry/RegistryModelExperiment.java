package org.amberpath.lab.registry;

import org.amberpath.lab.simulation.SeededRuns;

/** The registry's pure half on a virtual clock. */
public final class RegistryModelExperiment {
  /** One run from a seed. */
  public static final SeededRuns.Model MODEL =
      (seed, trace) -> new RegistryModel(seed, trace).run();

  private RegistryModelExperiment() {}
}
