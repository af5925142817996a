package org.amberpath.lab.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.amberpath.lab.simulation.InvariantViolation;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.ReplayFilter;
import org.amberpath.membership.SwimProtocol;

/** Simulated gateway of the membership model; at most one process runs under its name at a time. */
final class SimulatedMember implements SwimProtocol.Output {
  private static final long TICK_NANOS = 100 * Simulation.NANOS_PER_MILLI;
  private static final int MAX_DATAGRAMS_PER_SECOND = 200;
  private static final int FALSE_UPDATE_ONE_IN = 4;
  private static final int MAX_INCARNATION_ERROR = 5;
  private static final List<String> SEED_ADDRESSES = List.of("a0", "a1", "a2");

  private final MembershipModel model;
  private final Simulation simulation;
  private final int index;
  private final String name;
  private final String address;
  private SwimProtocol protocol;
  private ReplayFilter replayFilter;

  /**
   * Number of processes started under this name; datagrams and ticks meant for an earlier process
   * are dropped.
   */
  private int generation;

  private long pausedUntilNanos;
  private long currentSecond;
  private long sentInSecond;

  SimulatedMember(MembershipModel model, int index) {
    this.model = model;
    simulation = model.simulation();
    this.index = index;
    name = "g" + index;
    address = "a" + index;
  }

  int index() {
    return index;
  }

  String name() {
    return name;
  }

  int generation() {
    return generation;
  }

  boolean isRunning() {
    return protocol != null;
  }

  /** Returns the process's membership protocol; null while no process is running. */
  SwimProtocol protocol() {
    return protocol;
  }

  /** Ends a pause, and starts a process. */
  void restartUnpaused() {
    pausedUntilNanos = 0;
    restart();
  }

  /** Starts a process. */
  void restart() {
    generation++;
    SplittableRandom random = simulation.random();
    // The incarnation is derived from the clock, which is the only state that survives a restart
    // and may have been set back.
    long incarnation =
        Math.max(
            1,
            (simulation.nowNanos() - Simulation.EPOCH_NANOS) / Simulation.NANOS_PER_SECOND
                + random.nextInt(-MAX_INCARNATION_ERROR, MAX_INCARNATION_ERROR));
    long instanceId = random.nextLong();
    replayFilter =
        new ReplayFilter(instanceId, model.timings().probeIntervalNanos(), simulation.nowNanos());
    protocol =
        new SwimProtocol(
            model.timings(),
            new MemberUpdate(name, address, incarnation, instanceId, MemberStatus.ALIVE, name),
            SEED_ADDRESSES,
            random.nextLong(),
            simulation.nowNanos(),
            this);
    int started = generation;
    simulation.after(random.nextLong(TICK_NANOS), () -> tick(started));
  }

  /** Ends the process without notifying other members. */
  void crash() {
    protocol = null;
  }

  /** Ends the process after it has announced its departure to other members. */
  void leave() {
    protocol.leave(simulation.nowNanos());
    protocol = null;
  }

  /** Pauses the process until a time. */
  void pauseUntil(long timeNanos) {
    pausedUntilNanos = timeNanos;
  }

  private void tick(int ofGeneration) {
    if (ofGeneration == generation && protocol != null) {
      long nowNanos = simulation.nowNanos();
      if (pausedUntilNanos <= nowNanos) {
        protocol.tick(nowNanos);
      }
      simulation
          .scheduler()
          .schedule(Math.max(nowNanos + TICK_NANOS, pausedUntilNanos), () -> tick(ofGeneration));
    }
  }

  @Override
  public void send(String recipientAddress, GossipMessage message) {
    GossipMessage sent = model.sendsFalseUpdates(this) ? withFalseUpdate(message) : message;
    long second = simulation.nowNanos() / Simulation.NANOS_PER_SECOND;
    sentInSecond = second == currentSecond ? sentInSecond + 1 : 1;
    currentSecond = second;
    model.figures().datagramSent(sentInSecond);
    if (sentInSecond > MAX_DATAGRAMS_PER_SECOND) {
      throw new InvariantViolation(
          name
              + " sent "
              + sentInSecond
              + " datagrams in a second, over the limit of "
              + MAX_DATAGRAMS_PER_SECOND);
    }
    if (sent.updates().size() > model.timings().maxUpdatesPerMessage()) {
      throw new InvariantViolation(
          name
              + " sent a datagram with "
              + sent.updates().size()
              + " updates, over the limit of "
              + model.timings().maxUpdatesPerMessage());
    }
    model.network().send(this, model.member(recipientAddress), sent);
  }

  /**
   * Receives a datagram addressed to one generation of the process; while the process is paused,
   * the datagram waits.
   */
  void receive(int forGeneration, GossipMessage message) {
    if (forGeneration != generation || protocol == null) {
      return;
    }
    long nowNanos = simulation.nowNanos();
    if (pausedUntilNanos > nowNanos) {
      simulation.scheduler().schedule(pausedUntilNanos, () -> receive(forGeneration, message));
    } else if (replayFilter.tryExamine(nowNanos)) {
      switch (replayFilter.check(nowNanos, message)) {
        case ACCEPTED -> protocol.messageReceived(nowNanos, message);
        case WRONG_RECIPIENT -> protocol.greet(nowNanos, message.sender());
        default -> model.figures().datagramRejected();
      }
    }
  }

  /**
   * Adds to a message, in one case of four, a false update that reports a random member of its view
   * as lost or left, unless the message is full.
   */
  private GossipMessage withFalseUpdate(GossipMessage message) {
    SplittableRandom random = simulation.random();
    List<SwimProtocol.ObservedMember> observed = protocol.otherMembers();
    if (observed.isEmpty()
        || random.nextInt(FALSE_UPDATE_ONE_IN) > 0
        || message.updates().size() == model.timings().maxUpdatesPerMessage()) {
      return message;
    }
    MemberUpdate known = observed.get(random.nextInt(observed.size())).update();
    List<MemberUpdate> updates = new ArrayList<>(message.updates());
    updates.add(
        new MemberUpdate(
            known.name(),
            known.address(),
            known.incarnation() + random.nextInt(2),
            known.instanceId(),
            random.nextBoolean() ? MemberStatus.LOST : MemberStatus.LEFT,
            name));
    model.figures().falseUpdateSent();
    return new GossipMessage(
        message.kind(),
        message.sender(),
        message.recipientInstanceId(),
        message.sequenceNumber(),
        message.probeNumber(),
        message.countedDigest(),
        message.presentDigest(),
        message.subject(),
        message.hasMore(),
        message.fullySynced(),
        updates);
  }

  @Override
  public void memberStatusChanged(String memberName, MemberStatus status) {
    simulation.trace(name + ": " + memberName + " " + status);
    if (status == MemberStatus.LOST && model.member(memberName).isRunning()) {
      model.figures().runningMemberLost();
      if (model.isConvergenceDue()) {
        throw new InvariantViolation(
            name + " reports " + memberName + " as lost, which is running and reachable");
      }
    }
  }

  @Override
  public void phaseChanged(SwimProtocol.Phase before, SwimProtocol.Phase after) {
    simulation.trace(name + ": " + before + " -> " + after);
  }

  @Override
  public void nameConflictDetected(String otherAddress) {
    throw new InvariantViolation(name + " detected a name conflict with " + otherAddress);
  }
}
