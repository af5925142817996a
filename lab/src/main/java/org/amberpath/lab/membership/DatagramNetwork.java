package org.amberpath.lab.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.amberpath.lab.simulation.LinkMatrix;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.membership.GossipMessage;

/**
 * Simulated network that delivers datagrams between members: it loses, delays and duplicates them,
 * drops those on cut links, and replays recorded ones.
 */
final class DatagramNetwork {
  private static final long DEFAULT_MAX_DELAY_NANOS = 2 * Simulation.NANOS_PER_MILLI;
  private static final long MIN_DELAY_NANOS = Simulation.NANOS_PER_MILLI / 5;
  private static final long SHORT_MAX_DELAY_NANOS = 5 * Simulation.NANOS_PER_MILLI;
  private static final double MAX_LOSS_RATE = 0.3;
  private static final double MAX_DUPLICATION_RATE = 0.2;
  private static final int MAX_RECORDED = 300;
  private static final int RECORDED_ONE_IN = 20;
  private static final int REPLAYED_MESSAGES = 60;

  private final Simulation simulation;
  private final SplittableRandom random;
  private final LinkMatrix links;
  private final List<SimulatedMember> members;
  private final List<GossipMessage> recorded = new ArrayList<>();
  private double lossRate;
  private double duplicationRate;
  private long maxDelayNanos = DEFAULT_MAX_DELAY_NANOS;

  DatagramNetwork(Simulation simulation, LinkMatrix links, List<SimulatedMember> members) {
    this.simulation = simulation;
    random = simulation.random();
    this.links = links;
    this.members = members;
  }

  void send(SimulatedMember sender, SimulatedMember recipient, GossipMessage message) {
    maybeRecord(message);
    if (links.isCut(sender.index(), recipient.index()) || random.nextDouble() < lossRate) {
      return;
    }
    int copies = random.nextDouble() < duplicationRate ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      int generation = recipient.generation();
      simulation.after(
          MIN_DELAY_NANOS + random.nextLong(maxDelayNanos),
          () -> recipient.receive(generation, message));
    }
  }

  private void maybeRecord(GossipMessage message) {
    if (recorded.size() < MAX_RECORDED || random.nextInt(RECORDED_ONE_IN) == 0) {
      recorded.add(message);
      if (recorded.size() > MAX_RECORDED) {
        recorded.remove(random.nextInt(recorded.size()));
      }
    }
  }

  /** Draws new rates of loss and duplication, and a new maximum delay. */
  void drawConditions() {
    lossRate = random.nextDouble() * MAX_LOSS_RATE;
    duplicationRate = random.nextDouble() * MAX_DUPLICATION_RATE;
    maxDelayNanos =
        1
            + random.nextLong(
                random.nextBoolean() ? Simulation.NANOS_PER_SECOND : SHORT_MAX_DELAY_NANOS);
    simulation.trace(
        "loss "
            + lossRate
            + ", delays up to "
            + maxDelayNanos / Simulation.NANOS_PER_MILLI
            + " ms");
  }

  /**
   * Replays up to {@value #REPLAYED_MESSAGES} recorded datagrams, each to a random member within a
   * second.
   */
  void replayRecorded() {
    for (int count = 0; count < REPLAYED_MESSAGES && !recorded.isEmpty(); count++) {
      GossipMessage message = recorded.get(random.nextInt(recorded.size()));
      SimulatedMember target = members.get(random.nextInt(members.size()));
      int generation = target.generation();
      simulation.after(
          random.nextLong(Simulation.NANOS_PER_SECOND), () -> target.receive(generation, message));
    }
    simulation.trace("recorded datagrams are replayed");
  }

  /** Ends loss, duplication and long delays, and restores all links. */
  void restore() {
    lossRate = 0;
    duplicationRate = 0;
    maxDelayNanos = DEFAULT_MAX_DELAY_NANOS;
    links.restoreAll();
  }
}
