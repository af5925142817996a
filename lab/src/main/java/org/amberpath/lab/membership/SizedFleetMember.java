package org.amberpath.lab.membership;

import org.amberpath.lab.simulation.Simulation;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.ReplayFilter;
import org.amberpath.membership.SwimProtocol;

/** Simulated member of a {@link SizedFleet}. */
final class SizedFleetMember implements SwimProtocol.Output {
  private final SizedFleet fleet;
  private final int index;
  private final String name;
  private final String address;
  private SwimProtocol protocol;
  private ReplayFilter replayFilter;
  private long currentSecond;
  private long sentInSecond;

  SizedFleetMember(SizedFleet fleet, int index) {
    this.fleet = fleet;
    this.index = index;
    name = "gateway-" + index;
    address = "10." + (index >> 16) + "." + (index >> 8 & 255) + "." + (index & 255) + ":7946";
  }

  private static int indexOf(String address) {
    String[] parts = address.substring(0, address.indexOf(':')).split("\\.", -1);
    return Integer.parseInt(parts[1]) << 16
        | Integer.parseInt(parts[2]) << 8
        | Integer.parseInt(parts[3]);
  }

  int index() {
    return index;
  }

  String address() {
    return address;
  }

  boolean isRunning() {
    return protocol != null;
  }

  int presentCount() {
    return protocol.presentCount();
  }

  void crash() {
    protocol = null;
  }

  void restart() {
    long instanceId = fleet.random().nextLong();
    long nowNanos = fleet.scheduler().nowNanos();
    long incarnation = nowNanos / Simulation.NANOS_PER_SECOND;
    long probeIntervalNanos = fleet.timings().probeIntervalNanos();
    replayFilter = new ReplayFilter(instanceId, probeIntervalNanos, nowNanos);
    protocol =
        new SwimProtocol(
            fleet.timings(),
            new MemberUpdate(name, address, incarnation, instanceId, MemberStatus.ALIVE, name),
            fleet.seedAddresses(),
            fleet.random().nextLong(),
            nowNanos,
            this);
    SwimProtocol started = protocol;
    fleet
        .scheduler()
        .scheduleAfter(
            fleet.random().nextLong(probeIntervalNanos / SizedFleet.TICKS_PER_PERIOD),
            () -> tick(started));
  }

  private void tick(SwimProtocol scheduledFor) {
    if (protocol == scheduledFor) {
      long startedNanos = System.nanoTime();
      protocol.tick(fleet.scheduler().nowNanos());
      fleet.addProtocolTime(System.nanoTime() - startedNanos);
      fleet
          .scheduler()
          .scheduleAfter(
              fleet.timings().probeIntervalNanos() / SizedFleet.TICKS_PER_PERIOD,
              () -> tick(scheduledFor));
    }
  }

  void receive(GossipMessage message) {
    if (protocol == null) {
      return;
    }
    long startedNanos = System.nanoTime();
    long nowNanos = fleet.scheduler().nowNanos();
    if (replayFilter.tryExamine(nowNanos)) {
      switch (replayFilter.check(nowNanos, message)) {
        case ACCEPTED -> protocol.messageReceived(nowNanos, message);
        case WRONG_RECIPIENT -> protocol.greet(nowNanos, message.sender());
        default -> {}
      }
    }
    fleet.addProtocolTime(System.nanoTime() - startedNanos);
  }

  @Override
  public void send(String recipientAddress, GossipMessage message) {
    long second = fleet.scheduler().nowNanos() / Simulation.NANOS_PER_SECOND;
    sentInSecond = second == currentSecond ? sentInSecond + 1 : 1;
    currentSecond = second;
    fleet.send(this, indexOf(recipientAddress), message, sentInSecond);
  }

  @Override
  public void memberStatusChanged(String memberName, MemberStatus status) {
    if (status == MemberStatus.SUSPECTED) {
      fleet.memberSuspected();
    } else if (status == MemberStatus.LOST) {
      fleet.memberLost();
    }
  }

  @Override
  public void phaseChanged(SwimProtocol.Phase before, SwimProtocol.Phase after) {}

  @Override
  public void nameConflictDetected(String otherAddress) {}
}
