package org.amberpath.lab.testbed;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * The timed steps of a scenario. The steps are added before the scenario starts, and run on the
 * calling thread.
 */
public final class Timetable {
  /** The action of one step. */
  public interface Action {
    /** Runs the action. */
    void run() throws Exception;
  }

  private record Step(long atMillis, String description, Action action) {}

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final List<Step> steps = new ArrayList<>();

  /**
   * Adds a step.
   *
   * @param atMillis when the step runs, in milliseconds from the start of the scenario
   * @param description the text that {@link #print} writes
   */
  public void add(long atMillis, String description, Action action) {
    steps.add(new Step(atMillis, description, action));
  }

  /**
   * Adds the two steps of a fault: one that starts it and one that ends it.
   *
   * @param atMillis when the fault starts, in milliseconds from the start of the scenario
   */
  public void addFault(
      long atMillis, long durationMillis, String description, Action begin, Action end) {
    add(atMillis, description + " for " + durationMillis + " ms", begin);
    add(atMillis + durationMillis, description + ": over", end);
  }

  /** Returns the number of steps. */
  public int size() {
    return steps.size();
  }

  /** Sorts the steps by time; steps at the same time keep the order in which they were added. */
  public void sort() {
    steps.sort(Comparator.comparingLong(Step::atMillis));
  }

  /** Prints one line for each step. */
  public void print(PrintStream out) {
    steps.forEach(step -> out.printf(Locale.ROOT, "%6d ms  %s%n", step.atMillis, step.description));
  }

  /**
   * Runs each step at its time, or immediately if that time has passed.
   *
   * @param startedAtNanos the start of the scenario ({@link System#nanoTime})
   */
  public void run(long startedAtNanos) throws Exception {
    for (Step step : steps) {
      long waitMillis =
          startedAtNanos / NANOS_PER_MILLI + step.atMillis - System.nanoTime() / NANOS_PER_MILLI;
      if (waitMillis > 0) {
        Thread.sleep(waitMillis);
      }
      step.action.run();
    }
  }
}
