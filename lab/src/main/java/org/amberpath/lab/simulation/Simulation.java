package org.amberpath.lab.simulation;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * What all parts of one run of a model share: the source of random numbers, the virtual clock, the
 * trace, and the time at which faults end. The order in which parts draw random numbers follows
 * from the seed alone, and is part of a model's behaviour. One thread only.
 */
public final class Simulation {
  /** Nanoseconds of a millisecond. */
  public static final long NANOS_PER_MILLI = 1_000_000;

  /** Nanoseconds of a second. */
  public static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

  /** What the virtual clock shows when a run starts. */
  public static final long EPOCH_NANOS = 1_700_000_000L * NANOS_PER_SECOND;

  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);
  private final Consumer<String> trace;
  private final long faultsUntilNanos;

  /**
   * A run that has not started.
   *
   * @param faultPeriodNanos how long from the start faults are injected
   * @param traceUnit the unit of the times in the trace: microseconds or milliseconds
   * @param trace takes each line of the trace
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

  /** The one source of random numbers of the run. */
  public SplittableRandom random() {
    return random;
  }

  /** The virtual clock of the run. */
  public VirtualScheduler scheduler() {
    return scheduler;
  }

  /** What the virtual clock shows. */
  public long nowNanos() {
    return scheduler.nowNanos();
  }

  /** When faults end. */
  public long faultsUntilNanos() {
    return faultsUntilNanos;
  }

  /** Whether faults are injected now. */
  public boolean faultsActive() {
    return scheduler.nowNanos() < faultsUntilNanos;
  }

  /** Writes a line of the trace, after the time. */
  public void trace(String line) {
    trace.accept(line);
  }

  /** Where parts that know nothing of models write the trace. */
  public Consumer<String> traceSink() {
    return trace;
  }

  /** Runs a task so many nanoseconds from now. */
  public void after(long delayNanos, Runnable task) {
    scheduler.scheduleAfter(delayNanos, task);
  }

  /** Runs the next fault: in one case of four at once, else after a time up to the given one. */
  public void scheduleNextFault(long maxDelayNanos, Runnable fault) {
    after(random.nextInt(4) == 0 ? 0 : random.nextLong(maxDelayNanos), fault);
  }

  /**
   * Runs all tasks until the calm after the faults is over.
   *
   * @param checkInvariants runs after each task; throws {@link InvariantViolation}
   * @return how many tasks ran
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
