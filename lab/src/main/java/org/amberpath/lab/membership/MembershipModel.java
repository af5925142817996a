package org.amberpath.lab.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amberpath.lab.simulation.InvariantViolation;
import org.amberpath.lab.simulation.LinkMatrix;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.membership.SwimProtocol;
import org.amberpath.membership.SwimTimings;

/**
 * One run of a fleet's members on a virtual clock, with the faults of {@link MembershipFaults}; in
 * one run of six one member says of others that they are gone. After each step the shares of all
 * that run sum to one at most; once it has been calm for a while, each member knows those that run
 * and nobody else.
 */
final class MembershipModel {
  private static final long WARM_UP_NANOS = 15 * Simulation.NANOS_PER_SECOND;
  private static final long FAULT_PERIOD_NANOS = 40 * Simulation.NANOS_PER_SECOND;
  private static final long CALM_PERIOD_NANOS = 30 * Simulation.NANOS_PER_SECOND;
  private static final long HEALED_AFTER_NANOS = 15 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_START_NANOS = 2 * Simulation.NANOS_PER_SECOND;
  private static final int MIN_MEMBERS = 3;
  private static final int MAX_MEMBERS = 30;
  private static final int GROWS_ONE_IN = 3;
  private static final int FAULTY_ONE_IN = 6;
  private static final double ROUNDING = 1e-9;

  private final Simulation simulation;
  private final List<SimulatedMember> members = new ArrayList<>();
  private final DatagramNetwork network;
  private final MembershipFaults faults;
  private final SwimTimings timings;

  /** How many members the operators expect where more come; else the number of all. */
  private final int firstMembers;

  /** The one that sends false updates; null in most runs. */
  private final SimulatedMember faultyMember;

  private final MembershipFigures figures = new MembershipFigures();
  private boolean hasGrown;
  private long calmSinceNanos;

  MembershipModel(long seed, Consumer<String> trace) {
    simulation =
        new Simulation(seed, WARM_UP_NANOS + FAULT_PERIOD_NANOS, TimeUnit.MILLISECONDS, trace);
    SplittableRandom random = simulation.random();
    int count = MIN_MEMBERS + random.nextInt(MAX_MEMBERS - MIN_MEMBERS + 1);
    // In one run of three more come than expected, once those before them have settled.
    boolean moreThanExpected = random.nextInt(GROWS_ONE_IN) == 0;
    firstMembers = moreThanExpected ? Math.max(2, count - 1 - random.nextInt(count / 2)) : count;
    timings = SwimTimings.defaults(moreThanExpected ? firstMembers : count + random.nextInt(3));
    LinkMatrix links = new LinkMatrix(simulation, count);
    network = new DatagramNetwork(simulation, links, members);
    faults = new MembershipFaults(this, links);
    for (int index = 0; index < count; index++) {
      members.add(new SimulatedMember(this, index));
    }
    faultyMember = random.nextInt(FAULTY_ONE_IN) == 0 ? members.get(random.nextInt(count)) : null;
  }

  Simulation simulation() {
    return simulation;
  }

  SwimTimings timings() {
    return timings;
  }

  DatagramNetwork network() {
    return network;
  }

  MembershipFigures figures() {
    return figures;
  }

  List<SimulatedMember> members() {
    return members;
  }

  /** By its name or its address, each of which ends in its index. */
  SimulatedMember member(String nameOrAddress) {
    return members.get(Integer.parseInt(nameOrAddress.substring(1)));
  }

  /** Whether this member sends false updates now. */
  boolean sendsFalseUpdates(SimulatedMember member) {
    return member == faultyMember && !isCalm();
  }

  boolean hasFaultyMember() {
    return faultyMember != null;
  }

  /** Whether more members come in this run than are expected. */
  boolean grows() {
    return firstMembers < members.size();
  }

  boolean isBeyondExpected(SimulatedMember member) {
    return member.index() >= firstMembers;
  }

  /** Whether one beyond the expected has started, as of the last fault. */
  boolean hasGrown() {
    return hasGrown;
  }

  /** Looks whether one beyond the expected has started. */
  void noteStarts() {
    hasGrown |= members.stream().skip(firstMembers).anyMatch(member -> member.generation() > 0);
  }

  void faultsEnded() {
    calmSinceNanos = simulation.nowNanos();
  }

  boolean isCalm() {
    return calmSinceNanos > 0;
  }

  /** Whether it has been calm for so long that all must know all. */
  boolean isHealed() {
    return isCalm() && simulation.nowNanos() - calmSinceNanos > HEALED_AFTER_NANOS;
  }

  List<String> runningNames() {
    return members.stream()
        .filter(SimulatedMember::isRunning)
        .map(SimulatedMember::name)
        .sorted()
        .toList();
  }

  /** Runs it, and gives its figures. */
  Map<String, Long> run() {
    SplittableRandom random = simulation.random();
    for (SimulatedMember member : members.subList(0, firstMembers)) {
      simulation.after(random.nextLong(MAX_START_NANOS), member::restart);
    }
    simulation.after(WARM_UP_NANOS, faults::inject);
    simulation.scheduler().schedule(simulation.faultsUntilNanos(), faults::end);
    long steps = simulation.run(CALM_PERIOD_NANOS, this::checkShares);
    members.stream().filter(SimulatedMember::isRunning).forEach(this::checkEnd);
    return figures.report(steps);
  }

  private void checkEnd(SimulatedMember member) {
    SwimProtocol protocol = member.protocol();
    List<String> running = runningNames();
    if (!protocol.presentNames().equals(running)) {
      throw new InvariantViolation(
          "calm, and " + member.name() + " holds " + protocol.presentNames() + " of " + running);
    }
    if (protocol.phase() != SwimProtocol.Phase.SETTLED
        && running.size() * 2 > members.size()
        && protocol.countedMembers() < 2 * running.size()) {
      throw new InvariantViolation("calm, and " + member.name() + " is " + protocol.phase());
    }
  }

  /**
   * One beyond the expected that has reached nobody serves as before: what is promised ends there.
   */
  private boolean isCounted(SimulatedMember member) {
    return member.isRunning()
        && !(hasGrown && member.protocol().phase() == SwimProtocol.Phase.ALONE);
  }

  private void checkShares() {
    double shareSum = 0;
    for (SimulatedMember member : members) {
      shareSum += isCounted(member) ? member.protocol().quotaShare() : 0;
    }
    if (shareSum > 1 + ROUNDING) {
      throw new InvariantViolation(
          "shares sum to "
              + shareSum
              + ": "
              + members.stream()
                  .filter(SimulatedMember::isRunning)
                  .map(MembershipModel::describe)
                  .toList());
    }
  }

  private static String describe(SimulatedMember member) {
    SwimProtocol protocol = member.protocol();
    return member.name()
        + " "
        + protocol.phase()
        + " of "
        + protocol.countedMembers()
        + ": "
        + protocol.quotaShare();
  }
}
