package org.amberpath.lab.simulation;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The context that all parts of one run of a model share: the random number generator, the virtual
 * clock, the trace, and the time at which fault injection ends. The order in which the parts draw
 * random numbers is determined by the seed alone and is part of the behaviour of a model. Confined
 * to one thread.
 */
public final class Simulation {
  /** Nanoseconds per millisecond. */
  public static final long NANOS_PER_MILLI = 1_000_000;

  /** Nanoseconds per second. */
  public static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

  /** The time of the virtual clock at the start of a run, in nanoseconds. */
  public static final long EPOCH_NANOS = 1_700_000_000L * NANOS_PER_SECOND;

  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);
  private final Consumer<String> trace;
  private final long faultsUntilNanos;

  /**
   * Creates a run that has not started.
   *
   * @param faultPeriodNanos how long faults are injected from the start, in nanoseconds
   * @param traceUnit the unit of the timestamps in the trace: microseconds or milliseconds
   * @param trace receives each line of the trace
   */
  public Simulation(long seed, long faultPeriodNanos, TimeUnit traceUnit, Consumer<String> trace) {
    random = new SplittableRandom(seed);
    faultsUntilNanos = EPOCH_NANOS + faultPeriodNanos;
    String suffix = traceUnit == TimeUnit.MICROSECONDS ? " us: " : " ms: ";
    this.trace =
        line ->
            trace.accept(
                traceUnit.convert(scheduler.nowNanos() - EPOCH_NANOS, TimeUnit.NANOSECONDS)
                    + suffix
                    + line);
  }

  /** Returns the only random number generator of the run. */
  public SplittableRandom random() {
    return random;
  }

  /** Returns the virtual clock of the run. */
  public VirtualScheduler scheduler() {
    return scheduler;
  }

  /** Returns the present time of the virtual clock, in nanoseconds. */
  public long nowNanos() {
    return scheduler.nowNanos();
  }

  /** Returns the time of the virtual clock at which fault injection ends. */
  public long faultsUntilNanos() {
    return faultsUntilNanos;
  }

  /** Returns whether faults are injected now. */
  public boolean faultsActive() {
    return scheduler.nowNanos() < faultsUntilNanos;
  }

  /** Writes a line to the trace, prefixed with the time since the start of the run. */
  public void trace(String line) {
    trace.accept(line);
  }

  /** Returns the sink of the trace, for classes that have no access to the simulation. */
  public Consumer<String> traceSink() {
    return trace;
  }

  /** Runs a task after a delay in nanoseconds. */
  public void after(long delayNanos, Runnable task) {
    scheduler.scheduleAfter(delayNanos, task);
  }

  /**
   * Schedules the next fault: immediately in one case of four, else after a random delay below the
   * given one.
   */
  public void scheduleNextFault(long maxDelayNanos, Runnable fault) {
    after(random.nextInt(4) == 0 ? 0 : random.nextLong(maxDelayNanos), fault);
  }

  /**
   * Runs tasks until the calm period after fault injection has ended.
   *
   * @param calmPeriodNanos how long the run continues without faults, in nanoseconds
   * @param checkInvariants called after each task; throws {@link InvariantViolation}
   * @return the number of tasks that ran
   */
  public long run(long calmPeriodNanos, Runnable checkInvariants) {
    long steps = 0;
    while (scheduler.runNext(faultsUntilNanos + calmPeriodNanos)) {
      steps++;
      checkInvariants.run();
    }
    return steps;
  }
}
