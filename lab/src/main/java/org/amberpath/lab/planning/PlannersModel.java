package org.amberpath.lab.planning;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amberpath.lab.simulation.InvariantViolation;
import org.amberpath.lab.simulation.LeaseKey;
import org.amberpath.lab.simulation.MessageFaults;
import org.amberpath.lab.simulation.SimulatedProcess;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.planning.QuotaTimings;

/**
 * Simulates the I/O-free parts of planners and forwarders on a virtual clock. Messages are lost,
 * delayed and duplicated, planners are killed, paused and stopped, forwarders are restarted and
 * paused, and clocks differ and drift. Invariants, checked after each step: the sum of the amounts
 * that all forwarders may use stays within the bound of each resource, and at most one planner may
 * grant.
 */
final class PlannersModel {
  static final QuotaTimings TIMINGS =
      new QuotaTimings(
          2 * Simulation.NANOS_PER_SECOND, 8 * Simulation.NANOS_PER_SECOND, 1000, 0.125);
  static final long LEASE_NANOS = 3 * Simulation.NANOS_PER_SECOND;

  private static final long FAULT_PERIOD_NANOS = 60 * Simulation.NANOS_PER_SECOND;
  private static final long FAULT_FREE_PERIOD_NANOS = 20 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_MESSAGE_DELAY_NANOS = 4 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_FAULT_INTERVAL_NANOS = 4 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_PLANNER_PAUSE_NANOS = 8 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_FORWARDER_PAUSE_NANOS = 3 * Simulation.NANOS_PER_SECOND;
  private static final long MIN_DOWN_NANOS = 50 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_DOWN_NANOS = 5 * Simulation.NANOS_PER_SECOND;
  private static final int MIN_PLANNERS = 2;
  private static final int MIN_FORWARDERS = 4;
  private static final int FORWARDER_COUNT_CHOICES = 8;
  private static final int FAULT_KINDS = 6;
  private static final double ROUNDING = 1e-6;

  private final Simulation simulation;
  private final MessageFaults messages;
  private final LeaseKey<SimulatedPlanner> key;
  private final List<SimulatedPlanner> planners = new ArrayList<>();
  private final List<SimulatedForwarder> forwarders = new ArrayList<>();
  private final double[] bounds = {100, 7};
  private final PlannersFigures figures = new PlannersFigures();

  PlannersModel(long seed, Consumer<String> trace) {
    simulation = new Simulation(seed, FAULT_PERIOD_NANOS, TimeUnit.MICROSECONDS, trace);
    messages =
        new MessageFaults(simulation, MAX_MESSAGE_DELAY_NANOS, MessageFaults.Duplication.ALWAYS);
    key =
        new LeaseKey<>(
            simulation,
            LEASE_NANOS,
            LeaseKey.TermRule.NEXT,
            planners,
            SimulatedPlanner::keyObserved);
    int plannerCount = MIN_PLANNERS + simulation.random().nextInt(2);
    int forwarderCount = MIN_FORWARDERS + simulation.random().nextInt(FORWARDER_COUNT_CHOICES);
    for (int index = 0; index < plannerCount; index++) {
      planners.add(new SimulatedPlanner(this, index));
    }
    for (int index = 0; index < forwarderCount; index++) {
      forwarders.add(new SimulatedForwarder(this, index));
    }
  }

  Simulation simulation() {
    return simulation;
  }

  MessageFaults messages() {
    return messages;
  }

  LeaseKey<SimulatedPlanner> key() {
    return key;
  }

  List<SimulatedPlanner> planners() {
    return planners;
  }

  int forwarderCount() {
    return forwarders.size();
  }

  /**
   * Returns the bound of each resource: the amount that all forwarders together may use. Callers
   * must not modify the array.
   */
  double[] bounds() {
    return bounds;
  }

  PlannersFigures figures() {
    return figures;
  }

  /** Runs the model and returns its figures. */
  Map<String, Long> run() {
    planners.forEach(SimulatedPlanner::restart);
    forwarders.forEach(SimulatedForwarder::restart);
    simulation.after(simulation.random().nextLong(Simulation.NANOS_PER_SECOND), this::injectFault);
    long steps = simulation.run(FAULT_FREE_PERIOD_NANOS, this::checkInvariants);
    long granted = forwarders.stream().filter(SimulatedForwarder::isGranted).count();
    if (granted < forwarders.size()) {
      throw new InvariantViolation(
          "faults ended, but only "
              + granted
              + " of "
              + forwarders.size()
              + " forwarders hold a grant; planners: "
              + planners.stream().map(planner -> planner.leadership().state()).toList());
    }
    return figures.report(steps);
  }

  private void checkInvariants() {
    for (int resource = 0; resource < bounds.length; resource++) {
      double sum = 0;
      for (SimulatedForwarder forwarder : forwarders) {
        sum += forwarder.usableAmount(resource);
      }
      if (sum > bounds[resource] + ROUNDING) {
        throw new InvariantViolation(
            "resource "
                + resource
                + ": "
                + sum
                + " of "
                + bounds[resource]
                + " may be used, over the bound");
      }
    }
    if (planners.stream().filter(SimulatedPlanner::mayGrant).count() > 1) {
      throw new InvariantViolation("more than one planner may grant");
    }
  }

  private void injectFault() {
    if (!simulation.faultsActive()) {
      return;
    }
    SplittableRandom random = simulation.random();
    SimulatedPlanner planner = planners.get(random.nextInt(planners.size()));
    SimulatedForwarder forwarder = forwarders.get(random.nextInt(forwarders.size()));
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> {
        simulation.trace("planner " + planner.index() + " is killed");
        planner.stop();
        restartLater(planner, planner::restart);
      }
      case 1, 2 -> pause(planner);
      case 3 -> {
        if (planner.isRunning() && !planner.isPaused()) {
          simulation.trace("planner " + planner.index() + " resigns and is restarted later");
          planner.leadership().resign(planner.localNanos());
          restartLater(planner, planner::restart);
        }
      }
      case 4 -> {
        forwarder.stop();
        restartLater(forwarder, forwarder::restart);
      }
      default ->
          forwarder.pauseUntil(simulation.nowNanos() + random.nextLong(MAX_FORWARDER_PAUSE_NANOS));
    }
    simulation.after(random.nextLong(MAX_FAULT_INTERVAL_NANOS), this::injectFault);
  }

  private void pause(SimulatedPlanner planner) {
    planner.pauseUntil(
        simulation.nowNanos() + simulation.random().nextLong(MAX_PLANNER_PAUSE_NANOS));
    simulation.trace(
        "planner "
            + planner.index()
            + " is paused until "
            + (planner.pausedUntilNanos() - Simulation.EPOCH_NANOS) / 1000);
  }

  private void restartLater(SimulatedProcess process, Runnable restart) {
    long stoppedIncarnation = process.incarnation();
    simulation.after(
        simulation.random().nextLong(MIN_DOWN_NANOS, MAX_DOWN_NANOS),
        () -> {
          if (process.incarnation() == stoppedIncarnation) {
            restart.run();
          }
        });
  }
}
