package org.amberpath.lab.leadership;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.leadership.Leadership;

/**
 * Task loops of one simulated process. For each task that the process leads, it decides to send an
 * effect, checks its lease again, and sends the effect; the process may be paused between any two
 * of these steps. On resignation it hands the task over after its last effect has ended.
 */
final class LeaderTasks {
  private static final int PAUSE_BEFORE_RECHECK_ONE_IN = 40;
  private static final long MIN_INTERVAL_NANOS = 100 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_INTERVAL_NANOS = 300 * Simulation.NANOS_PER_MILLI;
  static final long MAX_PAUSE_NANOS = 6 * Simulation.NANOS_PER_SECOND;

  private final LeadershipModel model;
  private final Simulation simulation;
  private final SimulatedCandidate candidate;
  private final long[] effectsUntilNanos = new long[LeadershipModel.TASKS.size()];
  private final boolean[] resigning = new boolean[LeadershipModel.TASKS.size()];

  LeaderTasks(LeadershipModel model, SimulatedCandidate candidate) {
    this.model = model;
    simulation = model.simulation();
    this.candidate = candidate;
  }

  void processRestarted() {
    Arrays.fill(resigning, false);
  }

  /**
   * Schedules the next decision of a task after a random interval of 100 to 300 ms; each decision
   * schedules the one after it.
   */
  void scheduleNext(int task) {
    candidate.scheduleAfter(
        simulation.random().nextLong(MIN_INTERVAL_NANOS, MAX_INTERVAL_NANOS),
        () -> {
          Leadership leadership = candidate.leadership(task);
          if (mayAct(task, leadership)) {
            long term = leadership.term();
            // The process may be paused here, between deciding and sending, so it checks its lease
            // again; it may also be paused after that check (TaskEffects.send).
            runAfterPause(() -> recheckLeaseAndSend(task, leadership, term));
          }
          scheduleNext(task);
        });
  }

  private boolean mayAct(int task, Leadership leadership) {
    return leadership.isLeaderFor(candidate.localNanos(), LeadershipModel.EFFECT_NANOS)
        && !resigning[task];
  }

  private void recheckLeaseAndSend(int task, Leadership leadership, long term) {
    if (model.variant() != LeadershipVariant.NO_SECOND_LOOK
        && !(leadership.isLeaderFor(candidate.localNanos(), LeadershipModel.EFFECT_NANOS)
            && leadership.term() == term
            && !resigning[task])) {
      model.figures().effectAbandoned();
    } else {
      long effectEndsNanos = model.effects().send(candidate, task, term);
      effectsUntilNanos[task] = Math.max(effectsUntilNanos[task], effectEndsNanos);
    }
  }

  private void runAfterPause(Runnable task) {
    SplittableRandom random = simulation.random();
    if (simulation.faultsActive() && random.nextInt(PAUSE_BEFORE_RECHECK_ONE_IN) == 0) {
      candidate.pauseAtLeastUntil(simulation.nowNanos() + random.nextLong(MAX_PAUSE_NANOS));
    }
    candidate.schedule(Math.max(simulation.nowNanos(), candidate.pausedUntilNanos()), task);
  }

  /**
   * Stops starting effects of a task, and schedules the handover for the time when the last effect
   * has ended.
   *
   * @return the simulated time in nanoseconds at which the last effect has ended
   */
  long resign(int task) {
    resigning[task] = true;
    long idleFromNanos = Math.max(simulation.nowNanos(), effectsUntilNanos[task]);
    candidate.schedule(idleFromNanos, () -> handOver(task));
    return idleFromNanos;
  }

  /**
   * Notifies all other candidates that this leader has stopped, if it still leads and its effects
   * have ended, and then resigns. A notification may be delayed or lost.
   */
  private void handOver(int task) {
    Leadership leadership = candidate.leadership(task);
    if (leadership.isLeader(candidate.localNanos())
        && simulation.nowNanos() >= effectsUntilNanos[task]) {
      long term = leadership.term();
      model.figures().handedOver();
      for (SimulatedCandidate other : model.candidates()) {
        if (other != candidate) {
          other.deliver(
              candidate.index(),
              () ->
                  other.runAndTrace(
                      task,
                      () -> other.leadership(task).predecessorStopped(other.localNanos(), term)));
        }
      }
    }
    leadership.resign(candidate.localNanos());
  }
}
