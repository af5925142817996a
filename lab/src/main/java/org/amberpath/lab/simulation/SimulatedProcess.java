package org.amberpath.lab.simulation;

import java.util.SplittableRandom;

/**
 * A process of a model. Its local clock starts with an offset of up to {@value
 * #MAX_CLOCK_OFFSET_NANOS} ns and drifts by up to {@value #MAX_CLOCK_DRIFT} of the elapsed time. It
 * can be stopped, restarted as a new incarnation, and paused: tasks that become due during a pause
 * run when the pause ends; tasks that an earlier incarnation scheduled never run.
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

  /** Creates a process that does not run yet; draws the offset and the rate of its clock. */
  protected SimulatedProcess(Simulation simulation) {
    scheduler = simulation.scheduler();
    SplittableRandom random = simulation.random();
    clockOffsetNanos = random.nextLong(-MAX_CLOCK_OFFSET_NANOS, MAX_CLOCK_OFFSET_NANOS);
    clockRate = 1 + (random.nextDouble() - 0.5) * 2 * MAX_CLOCK_DRIFT;
  }

  /** Starts the process as a new incarnation, which runs no task of an earlier one. */
  protected final void beginIncarnation() {
    incarnation++;
    running = true;
  }

  /** Stops the process; tasks of this incarnation that become due later do not run. */
  public final void stop() {
    running = false;
  }

  /** Returns whether the process runs; a paused process counts as running. */
  public final boolean isRunning() {
    return running;
  }

  /** Returns how many times the process has been started. */
  public final long incarnation() {
    return incarnation;
  }

  /**
   * Pauses the process until a time of the virtual clock; a time that has passed ends the pause.
   */
  public final void pauseUntil(long timeNanos) {
    pausedUntilNanos = timeNanos;
  }

  /** Pauses the process until a time of the virtual clock, unless a present pause ends later. */
  public final void pauseAtLeastUntil(long timeNanos) {
    pausedUntilNanos = Math.max(pausedUntilNanos, timeNanos);
  }

  /** Returns when the last pause ends or ended, by the virtual clock. */
  public final long pausedUntilNanos() {
    return pausedUntilNanos;
  }

  /** Returns whether the process is paused now. */
  public final boolean isPaused() {
    return scheduler.nowNanos() < pausedUntilNanos;
  }

  /** Returns the time by the local clock of the process, in nanoseconds. */
  public final long localNanos() {
    return Simulation.EPOCH_NANOS
        + clockOffsetNanos
        + (long) ((scheduler.nowNanos() - Simulation.EPOCH_NANOS) * clockRate);
  }

  /**
   * Runs a task at a time of the virtual clock or, if the process is paused then, when the pause
   * ends. The task does not run if the process has been stopped or restarted by that time.
   */
  public final void schedule(long timeNanos, Runnable task) {
    long scheduledIncarnation = incarnation;
    scheduler.schedule(
        timeNanos,
        () -> {
          if (running && incarnation == scheduledIncarnation) {
            if (isPaused()) {
              schedule(pausedUntilNanos, task);
            } else {
              task.run();
            }
          }
        });
  }

  /** Runs a task after a delay, under the conditions of {@link #schedule}. */
  public final void scheduleAfter(long delayNanos, Runnable task) {
    schedule(scheduler.nowNanos() + delayNanos, task);
  }
}
