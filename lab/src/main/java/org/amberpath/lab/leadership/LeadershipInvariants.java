package org.amberpath.lab.leadership;

import java.util.List;
import org.amberpath.lab.simulation.InvariantViolation;
import org.amberpath.lab.simulation.Simulation;

/**
 * Invariants that are checked after each step of the leadership model: a task has at most one
 * leader; it has none if no majority of voters could vote within the last lease; and after the
 * faults have ended no task lacks a leader for longer than {@link
 * LeadershipModel#MAX_VACANCY_NANOS}.
 */
final class LeadershipInvariants {
  private final LeadershipModel model;
  private final Simulation simulation;
  private final long[] vacantSinceNanos = new long[LeadershipModel.TASKS.size()];
  private long longestVacancyNanos;

  LeadershipInvariants(LeadershipModel model) {
    this.model = model;
    simulation = model.simulation();
  }

  /**
   * Checks the invariants of every task.
   *
   * @throws InvariantViolation if one does not hold
   */
  void check() {
    boolean majority = model.electedByRegistry() || majorityCouldVote();
    for (int task = 0; task < LeadershipModel.TASKS.size(); task++) {
      int leaderCount = 0;
      StringBuilder leaders = new StringBuilder();
      for (SimulatedCandidate candidate : model.candidates()) {
        if (candidate.isLeader(task)) {
          leaderCount++;
          leaders
              .append(' ')
              .append(candidate.name())
              .append(" with term ")
              .append(candidate.leadership(task).term());
        }
      }
      String name = LeadershipModel.TASKS.get(task);
      if (leaderCount > 1) {
        throw new InvariantViolation("more than one leader of " + name + ":" + leaders);
      }
      if (leaderCount > 0 && !majority) {
        throw new InvariantViolation(
            "no majority of voters could vote within a lease, but" + leaders + " leads " + name);
      }
      if (simulation.nowNanos() > simulation.faultsUntilNanos()) {
        checkVacancy(task, leaderCount > 0);
      }
    }
  }

  private void checkVacancy(int task, boolean hasLeader) {
    long nowNanos = simulation.nowNanos();
    if (hasLeader) {
      vacantSinceNanos[task] = 0;
    } else if (vacantSinceNanos[task] == 0) {
      vacantSinceNanos[task] = nowNanos;
    }
    if (vacantSinceNanos[task] != 0) {
      longestVacancyNanos = Math.max(longestVacancyNanos, nowNanos - vacantSinceNanos[task]);
    }
    if (longestVacancyNanos > LeadershipModel.MAX_VACANCY_NANOS
        && model.variant() != LeadershipVariant.LOWEST_ALIVE) {
      throw new InvariantViolation(
          "faults ended, but "
              + LeadershipModel.TASKS.get(task)
              + " had no leader for "
              + longestVacancyNanos / Simulation.NANOS_PER_MILLI
              + " ms");
    }
  }

  /** Returns whether a majority of voters could vote at some time within the last lease. */
  private boolean majorityCouldVote() {
    long sinceNanos =
        simulation.nowNanos() - LeadershipModel.TIMINGS.longestNanos(LeadershipModel.LEASE_NANOS);
    List<String> couldVote =
        model.candidates().stream()
            .filter(candidate -> candidate.couldVoteSince(sinceNanos))
            .map(SimulatedCandidate::name)
            .toList();
    return model.voters().isMajority(couldVote);
  }

  /** Checks, at the end of the fault-free period, that each task has exactly one leader. */
  void checkEnd() {
    for (int task = 0; task < LeadershipModel.TASKS.size(); task++) {
      int taskIndex = task;
      long leaders =
          model.candidates().stream().filter(candidate -> candidate.isLeader(taskIndex)).count();
      if (leaders != 1 && model.variant() != LeadershipVariant.LOWEST_ALIVE) {
        throw new InvariantViolation(
            "faults ended, but "
                + LeadershipModel.TASKS.get(task)
                + " has "
                + leaders
                + " leaders instead of 1, states: "
                + model.candidates().stream()
                    .map(
                        candidate ->
                            candidate.isRunning() ? candidate.leadership(taskIndex).state() : null)
                    .toList());
      }
    }
  }
}
