package org.amberpath.lab.leadership;

import org.amberpath.lab.Runs;

/** Ownership of tasks on a virtual clock, the right way and wrong ones. */
public final class OwnerModel {
  /** How tasks are owned; only RIGHT is meant. */
  public enum Way { RIGHT, LOWEST_ALIVE, BELIEF_FROM_ANSWER, NO_WAIT_AFTER_RESTART, NO_SECOND_LOOK, NO_FENCE }

  private OwnerModel() {
  }

  public static Runs.Model model(Way way) {
    return (seed, story) -> new OwnerRun(seed, way, story).run();
  }
}
