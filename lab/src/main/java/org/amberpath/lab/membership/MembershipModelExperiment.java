package org.amberpath.lab.membership;

import org.amberpath.lab.simulation.SeededRuns;

/** The pure half of membership on a virtual clock. */
public final class MembershipModelExperiment {
  /** One run from a seed. */
  public static final SeededRuns.Model MODEL =
      (seed, trace) -> new MembershipModel(seed, trace).run();

  private MembershipModelExperiment() {}
}
