package org.amberpath.lab.membership;

import org.amberpath.lab.SeededRuns;

/** The pure half of the fleet's view on a virtual clock. */
public final class MembershipModelExperiment {
  public static final SeededRuns.Model MODEL =
      (seed, trace) -> new MembershipModel(seed, trace).run();

  private MembershipModelExperiment() {}
}
