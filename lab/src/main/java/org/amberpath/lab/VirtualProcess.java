package org.amberpath.lab;

import java.util.SplittableRandom;

/**
 * A process on a virtual clock: it has a clock of its own that is off and runs fast or slow, ends
 * and starts anew, and stands still; what is due meanwhile happens when it wakes, and what was
 * meant for an earlier life never does.
 */
public abstract class VirtualProcess {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_CLOCK_OFFSET_NANOS = 300 * NANOS_PER_MILLI;
  private static final double MAX_CLOCK_DRIFT = 0.9e-3;

  protected final long clockOffsetNanos;
  protected final double clockRate;
  public boolean running;
  public long pausedUntilNanos;
  public long incarnation;
  private final VirtualScheduler scheduler;
  private final long epochNanos;

  /** One that does not run yet, with a clock by chance. */
  protected VirtualProcess(VirtualScheduler agenda, long epochNanos, SplittableRandom chance) {
    this.scheduler = agenda;
    this.epochNanos = epochNanos;
    clockOffsetNanos = chance.nextLong(-MAX_CLOCK_OFFSET_NANOS, MAX_CLOCK_OFFSET_NANOS);
    clockRate = 1 + (chance.nextDouble() - 0.5) * 2 * MAX_CLOCK_DRIFT;
  }

  /** Its own clock. */
  public final long localNanos() {
    return epochNanos + clockOffsetNanos + (long) ((scheduler.nowNanos() - epochNanos) * clockRate);
  }

  /** Runs something of this life at a time, or when it wakes. */
  public final void schedule(long timeNanos, Runnable task) {
    long scheduledIn = incarnation;
    scheduler.schedule(
        timeNanos,
        () -> {
          if (running && incarnation == scheduledIn) {
            if (scheduler.nowNanos() < pausedUntilNanos) {
              schedule(pausedUntilNanos, task);
            } else {
              task.run();
            }
          }
        });
  }
}
