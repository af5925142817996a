package org.amberpath.lab.leadership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.amberpath.lab.simulation.LinkMatrix;
import org.amberpath.lab.simulation.MessageFaults;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.leadership.LeaseTimings;

/**
 * Simulates candidates, voters and recipients of effects on a virtual clock, with the faults of
 * {@link LeadershipFaults}. {@link LeadershipInvariants} and {@link TaskEffects} check the
 * invariants.
 */
final class LeadershipModel {
  static final List<String> TASKS = List.of("probe", "sweep");
  static final long LEASE_NANOS = 3 * Simulation.NANOS_PER_SECOND;

  /** How long an effect lasts at its recipient. */
  static final long EFFECT_NANOS = 300 * Simulation.NANOS_PER_MILLI;

  /** Longest time that an effect is in transit after it has been sent. */
  static final long MAX_SEND_NANOS = 200 * Simulation.NANOS_PER_MILLI;

  /**
   * How long a new leader waits before it acts: until the last effect of the previous leader has
   * ended.
   */
  private static final long SETTLE_NANOS =
      EFFECT_NANOS + MAX_SEND_NANOS + 100 * Simulation.NANOS_PER_MILLI;

  static final LeaseTimings TIMINGS = new LeaseTimings(LEASE_NANOS, SETTLE_NANOS, 1000);

  /**
   * Longest time that a task may have no leader after the faults have ended: it covers the lease
   * that restarted voters wait, the delays between campaigns (half a lease), and the settle time of
   * the new leader.
   */
  static final long MAX_VACANCY_NANOS =
      2 * LEASE_NANOS + LEASE_NANOS / 2 + 2 * Simulation.NANOS_PER_SECOND + SETTLE_NANOS;

  private static final long FAULT_PERIOD_NANOS = 60 * Simulation.NANOS_PER_SECOND;
  private static final long FAULT_FREE_PERIOD_NANOS =
      MAX_VACANCY_NANOS + 5 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_MESSAGE_DELAY_NANOS = 3 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_START_NANOS = Simulation.NANOS_PER_SECOND;
  private static final long MAX_FIRST_FAULT_NANOS = 2 * Simulation.NANOS_PER_SECOND;
  private static final long MIN_FIRST_VOTER_CHANGE_NANOS = 10 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_VOTER_CHANGE_DRAW_NANOS = 20 * Simulation.NANOS_PER_SECOND;
  private static final int MIN_GATEWAYS = 3;
  private static final int GATEWAY_COUNT_CHOICES = 7;
  private static final int ELECTED_BY_REGISTRY_ONE_IN = 3;

  private final Simulation simulation;
  private final LeadershipVariant variant;
  private final boolean electedByRegistry;
  private final List<SimulatedCandidate> candidates = new ArrayList<>();
  private final VoterStages voters;
  private final LinkMatrix links;
  private final MessageFaults messages;
  private final RegistryKeys registryKeys;
  private final TaskEffects effects;
  private final LeadershipFigures figures = new LeadershipFigures();

  LeadershipModel(long seed, LeadershipVariant variant, Consumer<String> trace) {
    this.variant = variant;
    simulation = new Simulation(seed, FAULT_PERIOD_NANOS, TimeUnit.MICROSECONDS, trace);
    SplittableRandom random = simulation.random();
    electedByRegistry =
        variant == LeadershipVariant.LEASE_FROM_LATEST_CAMPAIGN
            || (variant == LeadershipVariant.RIGHT
                && random.nextInt(ELECTED_BY_REGISTRY_ONE_IN) == 0);
    int count = MIN_GATEWAYS + random.nextInt(GATEWAY_COUNT_CHOICES);
    links = new LinkMatrix(simulation, count);
    messages =
        new MessageFaults(
            simulation, MAX_MESSAGE_DELAY_NANOS, MessageFaults.Duplication.WHILE_FAULTS_ACTIVE);
    voters =
        VoterStages.draw(IntStream.range(0, count).mapToObj(index -> "g" + index).toList(), random);
    registryKeys = new RegistryKeys(simulation, candidates);
    effects = new TaskEffects(this);
    for (int index = 0; index < count; index++) {
      candidates.add(new SimulatedCandidate(this, index));
    }
  }

  Simulation simulation() {
    return simulation;
  }

  LeadershipVariant variant() {
    return variant;
  }

  /** Returns whether leaders are elected by the registry's leases; otherwise by votes. */
  boolean electedByRegistry() {
    return electedByRegistry;
  }

  List<SimulatedCandidate> candidates() {
    return candidates;
  }

  VoterStages voters() {
    return voters;
  }

  LinkMatrix links() {
    return links;
  }

  MessageFaults messages() {
    return messages;
  }

  RegistryKeys registryKeys() {
    return registryKeys;
  }

  TaskEffects effects() {
    return effects;
  }

  LeadershipFigures figures() {
    return figures;
  }

  /** Runs the model and returns its figures. */
  Map<String, Long> run() {
    SplittableRandom random = simulation.random();
    LeadershipFaults faults = new LeadershipFaults(this);
    LeadershipInvariants invariants = new LeadershipInvariants(this);
    candidates.forEach(
        candidate -> simulation.after(random.nextLong(MAX_START_NANOS), candidate::restart));
    simulation.after(random.nextLong(MAX_FIRST_FAULT_NANOS), faults::inject);
    if (voters.hasChange()) {
      simulation.after(
          MIN_FIRST_VOTER_CHANGE_NANOS + random.nextLong(MAX_VOTER_CHANGE_DRAW_NANOS),
          faults::advanceVoters);
    }
    simulation.scheduler().schedule(simulation.faultsUntilNanos(), faults::endFaults);
    long steps = simulation.run(FAULT_FREE_PERIOD_NANOS, invariants::check);
    invariants.checkEnd();
    return figures.report(steps);
  }
}
