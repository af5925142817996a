package org.amberpath.lab.membership;

import java.util.List;
import java.util.SplittableRandom;
import org.amberpath.lab.simulation.LinkMatrix;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.membership.SwimProtocol;

/**
 * Fault injector of the membership model: crashes, restarts without state, leaves, pauses,
 * partitions, lossy links, replayed datagrams, and links cut in one direction.
 */
final class MembershipFaults {
  private static final int FAULT_KINDS = 10;
  private static final int SEED_MEMBERS = 3;
  private static final long MAX_INTERVAL_NANOS = 3 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_PAUSE_NANOS = 12 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_PARTITION_NANOS = 15 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_CUT_NANOS = 10 * Simulation.NANOS_PER_SECOND;

  private final MembershipModel model;
  private final LinkMatrix links;
  private final Simulation simulation;
  private final SplittableRandom random;

  MembershipFaults(MembershipModel model, LinkMatrix links) {
    this.model = model;
    this.links = links;
    simulation = model.simulation();
    random = simulation.random();
  }

  /** Injects one random fault and schedules the next one, until the fault period ends. */
  void inject() {
    if (model.haveFaultsEnded()) {
      return;
    }
    model.figures().faultInjected();
    model.recordGrowth();
    List<SimulatedMember> members = model.members();
    SimulatedMember member = members.get(random.nextInt(members.size()));
    switch (random.nextInt(FAULT_KINDS)) {
      case 0, 1 -> {
        if (mayStop(member)) {
          simulation.trace(member.name() + " is killed");
          member.crash();
        }
      }
      case 2, 3 -> {
        if (mayStart(member)) {
          simulation.trace(member.name() + " starts");
          member.restartUnpaused();
        }
      }
      case 4 -> {
        if (mayStop(member)) {
          simulation.trace(member.name() + " leaves");
          member.leave();
        }
      }
      case 5 -> pause(member);
      case 6 -> partitionIfAllowed();
      case 7 -> model.network().drawConditions();
      case 8 -> model.network().replayRecorded();
      default -> cutOneWay(member);
    }
    simulation.scheduleNextFault(MAX_INTERVAL_NANOS, this::inject);
  }

  private boolean mayStop(SimulatedMember member) {
    return member.isRunning() && model.runningNames().size() > 1;
  }

  /**
   * Returns whether a member may start. In a run with more members than expected, a process without
   * state must find the running members settled as one fleet: the first start of an additional
   * member waits until all running members have settled, and once one has started only first starts
   * are allowed.
   */
  private boolean mayStart(SimulatedMember member) {
    boolean firstStartBeyondExpected = model.isBeyondExpected(member) && member.generation() == 0;
    return !member.isRunning()
        && (!model.mayExceedExpectedSize()
            || (!model.hasGrown() && !firstStartBeyondExpected)
            || (firstStartBeyondExpected && allSettled()));
  }

  private boolean allSettled() {
    return model.members().stream()
        .allMatch(
            member ->
                !member.isRunning() || member.protocol().phase() == SwimProtocol.Phase.SETTLED);
  }

  /**
   * Returns whether the fleet may be partitioned. Once it exceeds the expected size, the bound on
   * the sum of shares covers only members that were admitted before, so every running member must
   * have a share. With a faulty member there are no partitions, because a member that is cut off
   * can't refute false updates.
   */
  private boolean mayPartition() {
    return !model.hasFaultyMember()
        && (!model.hasGrown()
            || model.members().stream()
                .allMatch(member -> !member.isRunning() || member.protocol().quotaShare() > 0));
  }

  private void pause(SimulatedMember member) {
    member.pauseUntil(
        Math.min(
            simulation.nowNanos() + random.nextLong(MAX_PAUSE_NANOS),
            simulation.faultsUntilNanos()));
    simulation.trace(member.name() + " is paused");
  }

  private void partitionIfAllowed() {
    if (!mayPartition()) {
      return;
    }
    boolean[] side = new boolean[model.members().size()];
    for (int index = 0; index < side.length; index++) {
      side[index] = random.nextBoolean();
    }
    simulation.trace("partition");
    links.partitionFor(random.nextLong(MAX_PARTITION_NANOS), side);
  }

  private void cutOneWay(SimulatedMember from) {
    int to = random.nextInt(model.members().size());
    simulation.trace("link from " + from.name() + " to g" + to + " is cut");
    links.cutFor(random.nextLong(MAX_CUT_NANOS), from.index(), to);
  }

  /**
   * Ends all faults. If all seed members are down, starts the first one, because a starting member
   * could not find any other.
   */
  void endFaults() {
    model.faultsEnded();
    model.network().restore();
    simulation.trace("faults ended");
    if (model.members().stream().limit(SEED_MEMBERS).noneMatch(SimulatedMember::isRunning)) {
      model.members().get(0).restartUnpaused();
    }
  }
}
