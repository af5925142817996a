package org.amberpath.lab.leadership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.amberpath.lab.simulation.Simulation;

/**
 * Fault injector of the leadership model: crashes, pauses, resignations, partitions, cut links,
 * steps of the wall clock, power losses, an unavailable or restored registry. It also plays the
 * operators who change the voters.
 */
final class LeadershipFaults {
  private static final int FAULT_KINDS = 9;
  private static final int POWER_LOSS_ONE_IN = 6;
  private static final long MAX_INTERVAL_NANOS = 4 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_PAUSE_NANOS = 8 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_CUT_NANOS = 8 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_PARTITION_NANOS = 12 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_REGISTRY_OUTAGE_NANOS = 4 * Simulation.NANOS_PER_SECOND;
  private static final long MIN_DOWN_NANOS = 50 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_DOWN_NANOS = 5 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_EXIT_DELAY_NANOS = 2 * Simulation.NANOS_PER_SECOND;
  private static final long VOTER_CHECK_NANOS = 4 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_VOTER_UPDATE_NANOS = 3 * Simulation.NANOS_PER_SECOND;
  private static final long NO_VOTER_CHANGE_BEFORE_END_NANOS = 10 * Simulation.NANOS_PER_SECOND;

  private final LeadershipModel model;
  private final Simulation simulation;
  private final SplittableRandom random;

  /**
   * Number of consecutive checks at which every running gateway had the current voter
   * configuration; starts at 1, so the first change needs one check only.
   */
  private int checksWithCurrentVoters = 1;

  LeadershipFaults(LeadershipModel model) {
    this.model = model;
    simulation = model.simulation();
    random = simulation.random();
  }

  /** Injects one random fault and schedules the next one, until the fault period ends. */
  void inject() {
    if (!simulation.faultsActive()) {
      return;
    }
    List<SimulatedCandidate> candidates = model.candidates();
    SimulatedCandidate candidate = candidates.get(random.nextInt(candidates.size()));
    switch (random.nextInt(FAULT_KINDS)) {
      case 0, 1 -> crash(candidate);
      case 2, 3 -> pause(candidate);
      case 4 -> resign(candidate, random.nextInt(LeadershipModel.TASKS.size()));
      case 5 -> partition();
      case 6 -> {
        int to = random.nextInt(candidates.size());
        model.links().cutFor(random.nextLong(MAX_CUT_NANOS), candidate.index(), to);
      }
      case 7 -> {
        candidate.stepWallClock();
        if (random.nextInt(POWER_LOSS_ONE_IN) == 0) {
          simulation.trace("power loss of all gateways");
          candidates.forEach(this::crash);
        }
      }
      default -> registryFault();
    }
    simulation.scheduleNextFault(MAX_INTERVAL_NANOS, this::inject);
  }

  private void pause(SimulatedCandidate candidate) {
    candidate.pauseAtLeastUntil(simulation.nowNanos() + random.nextLong(MAX_PAUSE_NANOS));
    simulation.trace(
        candidate.name()
            + " is paused for "
            + (candidate.pausedUntilNanos() - simulation.nowNanos()) / Simulation.NANOS_PER_MILLI
            + " ms");
  }

  private void resign(SimulatedCandidate candidate, int task) {
    if (candidate.isRunning()
        && !candidate.isPaused()
        && model.variant() != LeadershipVariant.LOWEST_ALIVE) {
      simulation.trace(candidate.name() + " resigns " + LeadershipModel.TASKS.get(task));
      long idleFromNanos = candidate.tasks().resign(task);
      candidate.schedule(
          idleFromNanos + random.nextLong(MAX_EXIT_DELAY_NANOS), () -> crash(candidate));
    }
  }

  private void registryFault() {
    if (model.electedByRegistry() && model.registryKeys().isAvailable()) {
      if (random.nextBoolean()) {
        model.registryKeys().restoreFromBackup();
      } else {
        model.registryKeys().makeUnavailableFor(random.nextLong(MAX_REGISTRY_OUTAGE_NANOS));
      }
    }
  }

  private void crash(SimulatedCandidate candidate) {
    if (candidate.isRunning()) {
      simulation.trace(candidate.name() + " is killed");
      candidate.stop();
      candidate.maybeSetBackWallClock();
      long crashedIncarnation = candidate.incarnation();
      simulation.after(
          random.nextLong(MIN_DOWN_NANOS, MAX_DOWN_NANOS),
          () -> {
            if (candidate.incarnation() == crashedIncarnation && !candidate.isRunning()) {
              candidate.pauseUntil(0);
              candidate.restart();
            }
          });
    }
  }

  private void partition() {
    int count = model.candidates().size();
    List<Integer> shuffled = new ArrayList<>(IntStream.range(0, count).boxed().toList());
    Collections.shuffle(shuffled, new Random(random.nextLong()));
    List<Integer> oneSide = shuffled.subList(0, 1 + random.nextInt(count - 1));
    simulation.trace("partition, one side: " + oneSide);
    boolean[] side = new boolean[count];
    oneSide.forEach(index -> side[index] = true);
    model.links().partitionFor(random.nextLong(MAX_PARTITION_NANOS), side);
  }

  /**
   * Advances to the next voter configuration, which reaches each gateway with its own delay. The
   * configuration after it follows only when two consecutive checks, four seconds apart (more than
   * a lease of three seconds), found that every running gateway has the current one. Guards against
   * two leaders at once: a leader elected by the previous voters just before a change could still
   * hold its lease while the next voters elect another.
   */
  void advanceVoters() {
    VoterStages voters = model.voters();
    if (!voters.isLast()
        && simulation.nowNanos()
            < simulation.faultsUntilNanos() - NO_VOTER_CHANGE_BEFORE_END_NANOS) {
      boolean allHaveCurrentVoters =
          model.candidates().stream()
              .allMatch(
                  candidate ->
                      !candidate.isRunning() || candidate.voterStage() == voters.current());
      checksWithCurrentVoters = allHaveCurrentVoters ? checksWithCurrentVoters + 1 : 0;
      if (checksWithCurrentVoters > 1) {
        checksWithCurrentVoters = 0;
        voters.advance();
        simulation.trace("the voters become " + voters.at(voters.current()));
        model
            .candidates()
            .forEach(
                candidate ->
                    candidate.scheduleAfter(
                        random.nextLong(MAX_VOTER_UPDATE_NANOS), candidate::updateVoters));
      }
      simulation.after(VOTER_CHECK_NANOS, this::advanceVoters);
    }
  }

  /**
   * Ends all faults: restores the links, ends pauses, starts the gateways that are down, and gives
   * every gateway the last voter configuration.
   */
  void endFaults() {
    simulation.trace("faults ended");
    model.links().restoreAll();
    model.voters().skipToLast();
    model
        .candidates()
        .forEach(
            candidate -> {
              candidate.pauseUntil(Math.min(candidate.pausedUntilNanos(), simulation.nowNanos()));
              if (!candidate.isRunning()) {
                candidate.restart();
              }
              candidate.updateVoters();
            });
  }
}
