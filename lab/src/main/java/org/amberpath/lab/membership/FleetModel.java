package org.amberpath.lab.membership;

import org.amberpath.lab.Runs;

/** The pure half of the fleet's view on a virtual clock. */
public final class FleetModel {
  public static final Runs.Model MODEL = (seed, story) -> new FleetRun(seed, story).run();

  private FleetModel() {
  }
}
