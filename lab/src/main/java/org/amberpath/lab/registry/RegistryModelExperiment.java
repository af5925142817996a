package org.amberpath.lab.registry;

import org.amberpath.lab.SeededRuns;

/** The registry's pure half on a virtual clock. */
public final class RegistryModelExperiment {
  public static final SeededRuns.Model MODEL =
      (seed, trace) -> new RegistryModel(seed, trace).run();

  private RegistryModelExperiment() {}
}
