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
 * Simulates the members of a fleet on a virtual clock, with the faults of {@link MembershipFaults};
 * in one run of six a faulty member reports others as lost or left. Invariants: after each step the
 * shares of all running members sum to at most one; at the end of the fault-free period each
 * member's view consists of exactly the running members.
 */
final class MembershipModel {
  private static final long WARM_UP_NANOS = 15 * Simulation.NANOS_PER_SECOND;
  private static final long FAULT_PERIOD_NANOS = 40 * Simulation.NANOS_PER_SECOND;
  private static final long FAULT_FREE_PERIOD_NANOS = 30 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_CONVERGENCE_NANOS = 15 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_START_NANOS = 2 * Simulation.NANOS_PER_SECOND;
  private static final int MIN_MEMBERS = 3;
  private static final int MAX_MEMBERS = 30;
  private static final int GROWTH_ONE_IN = 3;
  private static final int FAULTY_MEMBER_ONE_IN = 6;
  private static final double ROUNDING = 1e-9;

  private final Simulation simulation;
  private final List<SimulatedMember> members = new ArrayList<>();
  private final DatagramNetwork network;
  private final MembershipFaults faults;
  private final SwimTimings timings;

  /**
   * The number of members that start first: the expected fleet size in runs in which more join;
   * otherwise the number of all members.
   */
  private final int initialMemberCount;

  /** The member that sends false updates; null in runs without one. */
  private final SimulatedMember faultyMember;

  private final MembershipFigures figures = new MembershipFigures();
  private boolean hasGrown;
  private long faultsEndedNanos;

  MembershipModel(long seed, Consumer<String> trace) {
    simulation =
        new Simulation(seed, WARM_UP_NANOS + FAULT_PERIOD_NANOS, TimeUnit.MILLISECONDS, trace);
    SplittableRandom random = simulation.random();
    int count = MIN_MEMBERS + random.nextInt(MAX_MEMBERS - MIN_MEMBERS + 1);
    // In one run of three more members join than expected, after the first ones have settled.
    boolean moreThanExpected = random.nextInt(GROWTH_ONE_IN) == 0;
    initialMemberCount =
        moreThanExpected ? Math.max(2, count - 1 - random.nextInt(count / 2)) : count;
    timings =
        SwimTimings.defaults(moreThanExpected ? initialMemberCount : count + random.nextInt(3));
    LinkMatrix links = new LinkMatrix(simulation, count);
    network = new DatagramNetwork(simulation, links, members);
    faults = new MembershipFaults(this, links);
    for (int index = 0; index < count; index++) {
      members.add(new SimulatedMember(this, index));
    }
    faultyMember =
        random.nextInt(FAULTY_MEMBER_ONE_IN) == 0 ? members.get(random.nextInt(count)) : null;
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

  /** Returns the member with a name or an address: both are one letter followed by its index. */
  SimulatedMember member(String nameOrAddress) {
    return members.get(Integer.parseInt(nameOrAddress.substring(1)));
  }

  /** Returns whether a member sends false updates now. */
  boolean sendsFalseUpdates(SimulatedMember member) {
    return member == faultyMember && !haveFaultsEnded();
  }

  boolean hasFaultyMember() {
    return faultyMember != null;
  }

  /** Returns whether more members join in this run than expected. */
  boolean mayExceedExpectedSize() {
    return initialMemberCount < members.size();
  }

  boolean isBeyondExpected(SimulatedMember member) {
    return member.index() >= initialMemberCount;
  }

  /**
   * Returns whether a member beyond the expected size had started when the last fault was injected.
   */
  boolean hasGrown() {
    return hasGrown;
  }

  /** Records whether a member beyond the expected size has started. */
  void recordGrowth() {
    hasGrown |=
        members.stream().skip(initialMemberCount).anyMatch(member -> member.generation() > 0);
  }

  void faultsEnded() {
    faultsEndedNanos = simulation.nowNanos();
  }

  boolean haveFaultsEnded() {
    return faultsEndedNanos > 0;
  }

  /**
   * Returns whether the faults ended more than 15 seconds ago, so that all members must know each
   * other.
   */
  boolean isConvergenceDue() {
    return haveFaultsEnded() && simulation.nowNanos() - faultsEndedNanos > MAX_CONVERGENCE_NANOS;
  }

  List<String> runningNames() {
    return members.stream()
        .filter(SimulatedMember::isRunning)
        .map(SimulatedMember::name)
        .sorted()
        .toList();
  }

  /** Runs the model and returns its figures. */
  Map<String, Long> run() {
    SplittableRandom random = simulation.random();
    for (SimulatedMember member : members.subList(0, initialMemberCount)) {
      simulation.after(random.nextLong(MAX_START_NANOS), member::restart);
    }
    simulation.after(WARM_UP_NANOS, faults::inject);
    simulation.scheduler().schedule(simulation.faultsUntilNanos(), faults::endFaults);
    long steps = simulation.run(FAULT_FREE_PERIOD_NANOS, this::checkShares);
    members.stream().filter(SimulatedMember::isRunning).forEach(this::checkEnd);
    return figures.report(steps);
  }

  private void checkEnd(SimulatedMember member) {
    SwimProtocol protocol = member.protocol();
    List<String> running = runningNames();
    if (!protocol.presentNames().equals(running)) {
      throw new InvariantViolation(
          "faults ended, but the view of "
              + member.name()
              + " is "
              + protocol.presentNames()
              + ", running are "
              + running);
    }
    if (protocol.phase() != SwimProtocol.Phase.SETTLED
        && running.size() * 2 > members.size()
        && protocol.quotaDivisor() < 2 * running.size()) {
      throw new InvariantViolation(
          "faults ended, but " + member.name() + " is in phase " + protocol.phase());
    }
  }

  /**
   * Returns whether the share of a member counts towards the sum. Once the fleet exceeds the
   * expected size, a member that has reached no other one keeps serving with its initial share; the
   * bound on the sum does not cover it.
   */
  private boolean countsTowardsShareSum(SimulatedMember member) {
    return member.isRunning()
        && !(hasGrown && member.protocol().phase() == SwimProtocol.Phase.ALONE);
  }

  private void checkShares() {
    double shareSum = 0;
    for (SimulatedMember member : members) {
      shareSum += countsTowardsShareSum(member) ? member.protocol().quotaShare() : 0;
    }
    if (shareSum > 1 + ROUNDING) {
      throw new InvariantViolation(
          "shares sum to more than 1, namely "
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
        + protocol.quotaDivisor()
        + ": "
        + protocol.quotaShare();
  }
}
