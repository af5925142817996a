package org.amberpath.lab.simulation;

import java.util.SplittableRandom;

/**
 * A process of a model. Its local clock is off by up to {@value #MAX_CLOCK_OFFSET_NANOS} ns and
 * drifts. It can be stopped, started anew (a new incarnation) and paused: what is due while it is
 * paused runs when the pause ends, and what was scheduled by an earlier incarnation never runs.
 */
public abstract class SimulatedProcess {
  private static final long MAX_CLOCK_OFFSET_NANOS = 300 * Simulation.NANOS_PER_MILLI;
  private static final double MAX_CLOCK_DRIFT = 0.9e-3;

  private final VirtualScheduler scheduler;
  private final long clockOffsetNanos;
  private final double clockRate;
  private boolean running;
  private long pausedUntilNanos;
  private long incarnation;

  /** A process that does not run yet; offset and rate of its clock are drawn here. */
  protected SimulatedProcess(Simulation simulation) {
    scheduler = simulation.scheduler();
    SplittableRandom random = simulation.random();
    clockOffsetNanos = random.nextLong(-MAX_CLOCK_OFFSET_NANOS, MAX_CLOCK_OFFSET_NANOS);
    clockRate = 1 + (random.nextDouble() - 0.5) * 2 * MAX_CLOCK_DRIFT;
  }

  /** Starts it anew, with nothing of what an earlier incarnation scheduled. */
  protected final void beginIncarnation() {
    incarnation++;
    running = true;
  }

  /** Stops it; tasks of this incarnation that are due from now on do not run. */
  public final void stop() {
    running = false;
  }

  /** Whether it runs; a paused process runs. */
  public final boolean isRunning() {
    return running;
  }

  /** How many times it has been started. */
  public final long incarnation() {
    return incarnation;
  }

  /** Pauses it until a time of the scheduler, or ends a pause where that is past. */
  public final void pauseUntil(long timeNanos) {
    pausedUntilNanos = timeNanos;
  }

  /** Pauses it until a time of the scheduler, unless it is paused for longer already. */
  public final void pauseAtLeastUntil(long timeNanos) {
    pausedUntilNanos = Math.max(pausedUntilNanos, timeNanos);
  }

  /** The end of its last pause, by the scheduler's clock. */
  public final long pausedUntilNanos() {
    return pausedUntilNanos;
  }

  /** Whether it is paused now. */
  public final boolean isPaused() {
    return scheduler.nowNanos() < pausedUntilNanos;
  }

  /** What its own clock shows. */
  public final long localNanos() {
    return Simulation.EPOCH_NANOS
        + clockOffsetNanos
        + (long) ((scheduler.nowNanos() - Simulation.EPOCH_NANOS) * clockRate);
  }

  /** Runs a task of this incarnation at a time of the scheduler, or when a pause ends. */
  public final void schedule(long timeNanos, Runnable task) {
    long scheduledIn = incarnation;
    scheduler.schedule(
        timeNanos,
        () -> {
          if (running && incarnation == scheduledIn) {
            if (isPaused()) {
              schedule(pausedUntilNanos, task);
            } else {
              task.run();
            }
          }
        });
  }

  /** Runs a task of this incarnation so many nanoseconds from now, or when a pause ends. */
  public final void scheduleAfter(long delayNanos, Runnable task) {
    schedule(scheduler.nowNanos() + delayNanos, task);
  }
}
