package org.amberpath.lab.leadership;

import org.amberpath.lab.SeededRuns;

/** Ownership of tasks on a virtual clock, the right way and wrong ones. */
public final class LeadershipModelExperiment {
  /** How tasks are owned; only RIGHT is meant. */
  public enum LeadershipVariant {
    RIGHT,
    LOWEST_ALIVE,
    BELIEF_FROM_ANSWER,
    NO_WAIT_AFTER_RESTART,
    NO_SECOND_LOOK,
    NO_FENCE
  }

  private LeadershipModelExperiment() {}

  public static SeededRuns.Model model(LeadershipVariant variant) {
    return (seed, trace) -> new LeadershipModel(seed, variant, trace).run();
  }
}
