package org.amberpath.lab.simulation;

import java.util.SplittableRandom;

/**
 * Delivers messages to the processes of a model. While faults are active, some messages are lost,
 * delayed or duplicated.
 */
public final class MessageFaults {
  /** When a message may be delivered a second time. */
  public enum Duplication {
    /** Only while faults are active, within a second after the sending. */
    WHILE_FAULTS_ACTIVE,

    /** At any time, within a second after the first delivery. */
    ALWAYS
  }

  /**
   * Thresholds for the draw, from 0 to below {@value #DRAW_RANGE}, that decides whether a message
   * is lost, late or duplicated.
   */
  private static final int LOST_BELOW_DRAW = 5;

  private static final int LATE_BELOW_DRAW = 12;
  private static final int DUPLICATED_ABOVE_DRAW = 96;
  private static final int DRAW_RANGE = 100;
  private static final long MIN_DELAY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long MAX_ORDINARY_DELAY_NANOS = 20 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_DUPLICATE_DELAY_NANOS = Simulation.NANOS_PER_SECOND;

  private final Simulation simulation;
  private final long maxDelayNanos;
  private final Duplication duplication;

  /**
   * Creates the message faults of one run.
   *
   * @param maxDelayNanos the longest delay of a late message, in nanoseconds
   */
  public MessageFaults(Simulation simulation, long maxDelayNanos, Duplication duplication) {
    this.simulation = simulation;
    this.maxDelayNanos = maxDelayNanos;
    this.duplication = duplication;
  }

  /**
   * Delivers a message: runs a task in the recipient once, twice, or not at all if the message is
   * lost.
   */
  public void deliver(SimulatedProcess recipient, Runnable task) {
    deliver(recipient, task, simulation.random().nextInt(DRAW_RANGE));
  }

  /**
   * Delivers a message over a link; the message is lost if the link is cut at the time of sending.
   * The random draw is made in either case, so that a cut does not shift later draws.
   */
  public void deliverOver(
      LinkMatrix links, int from, int to, SimulatedProcess recipient, Runnable task) {
    int draw = simulation.random().nextInt(DRAW_RANGE);
    if (!links.isCut(from, to)) {
      deliver(recipient, task, draw);
    }
  }

  private void deliver(SimulatedProcess recipient, Runnable task, int draw) {
    SplittableRandom random = simulation.random();
    boolean faultsActive = simulation.faultsActive();
    if (faultsActive && draw < LOST_BELOW_DRAW) {
      return;
    }
    long delayNanos =
        faultsActive && draw < LATE_BELOW_DRAW
            ? random.nextLong(maxDelayNanos)
            : random.nextLong(MIN_DELAY_NANOS, MAX_ORDINARY_DELAY_NANOS);
    recipient.scheduleAfter(delayNanos, task);
    if (draw > DUPLICATED_ABOVE_DRAW && (faultsActive || duplication == Duplication.ALWAYS)) {
      long fromNanos = duplication == Duplication.ALWAYS ? delayNanos : 0;
      recipient.scheduleAfter(fromNanos + random.nextLong(MAX_DUPLICATE_DELAY_NANOS), task);
    }
  }
}
