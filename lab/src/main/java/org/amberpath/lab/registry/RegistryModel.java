package org.amberpath.lab.registry;

import org.amberpath.lab.Runs;

/** The registry's pure half on a virtual clock. */
public final class RegistryModel {
  public static final Runs.Model MODEL = (seed, story) -> new ModelRun(seed, story).run();

  private RegistryModel() {
  }
}
