package org.amberpath.lab.planning;

import org.amberpath.lab.Runs;

/** The pure halves of planners and forwarders on a virtual clock. */
public final class PlannersModel {
  public static final Runs.Model MODEL = (seed, story) -> new PlannersRun(seed, story).run();

  private PlannersModel() {
  }
}
