package org.amberpath.lab.simulation;

import java.util.SplittableRandom;

/**
 * Delivers messages to processes of a model: some are lost, late or delivered twice while faults
 * are active.
 */
public final class MessageFaults {
  /** When a message is delivered a second time. */
  public enum Duplication {
    /** Only while faults are active, within a second of the sending. */
    WHILE_FAULTS_ACTIVE,

    /** At any time, within a second of the first delivery. */
    ALWAYS
  }

  private static final int LOST_BELOW = 5;
  private static final int LATE_BELOW = 12;
  private static final int DUPLICATED_ABOVE = 96;
  private static final int DRAWS = 100;
  private static final long MIN_DELAY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long MAX_ORDINARY_DELAY_NANOS = 20 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_DUPLICATE_DELAY_NANOS = Simulation.NANOS_PER_SECOND;

  private final Simulation simulation;
  private final long maxDelayNanos;
  private final Duplication duplication;

  /**
   * Faults of the messages of one run.
   *
   * @param maxDelayNanos the longest delay of a late message
   */
  public MessageFaults(Simulation simulation, long maxDelayNanos, Duplication duplication) {
    this.simulation = simulation;
    this.maxDelayNanos = maxDelayNanos;
    this.duplication = duplication;
  }

  /** Runs a task at the recipient when, and as often as, the message arrives. */
  public void deliver(SimulatedProcess recipient, Runnable task) {
    deliver(recipient, task, simulation.random().nextInt(DRAWS));
  }

  /** The same over a link, which may be cut at the time of sending. */
  public void deliverOver(
      LinkMatrix links, int from, int to, SimulatedProcess recipient, Runnable task) {
    int draw = simulation.random().nextInt(DRAWS);
    if (!links.isCut(from, to)) {
      deliver(recipient, task, draw);
    }
  }

  private void deliver(SimulatedProcess recipient, Runnable task, int draw) {
    SplittableRandom random = simulation.random();
    boolean faultsActive = simulation.faultsActive();
    if (faultsActive && draw < LOST_BELOW) {
      return;
    }
    long delayNanos =
        faultsActive && draw < LATE_BELOW
            ? random.nextLong(maxDelayNanos)
            : random.nextLong(MIN_DELAY_NANOS, MAX_ORDINARY_DELAY_NANOS);
    recipient.scheduleAfter(delayNanos, task);
    if (draw > DUPLICATED_ABOVE && (faultsActive || duplication == Duplication.ALWAYS)) {
      long fromNanos = duplication == Duplication.ALWAYS ? delayNanos : 0;
      recipient.scheduleAfter(fromNanos + random.nextLong(MAX_DUPLICATE_DELAY_NANOS), task);
    }
  }
}
