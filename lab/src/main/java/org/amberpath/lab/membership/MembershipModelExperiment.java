package org.amberpath.lab.membership;

import org.amberpath.lab.simulation.SeededRuns;

/** Runs the I/O-free part of membership on a virtual clock. */
public final class MembershipModelExperiment {
  /** Runs the model once from a seed. */
  public static final SeededRuns.Model MODEL =
      (seed, trace) -> new MembershipModel(seed, trace).run();

  private MembershipModelExperiment() {}
}
