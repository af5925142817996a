package org.amberpath.lab.testbed;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** What a scenario does, and when: drawn before it starts, and played on one thread of its own. */
public final class Timetable {
  /** One thing that a scenario does. */
  public interface Action {
    /** Does it. */
    void run() throws Exception;
  }

  private record Step(long atMillis, String description, Action action) {}

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final List<Step> steps = new ArrayList<>();

  /** Adds one step. */
  public void add(long atMillis, String description, Action action) {
    steps.add(new Step(atMillis, description, action));
  }

  /** Adds a fault: its beginning, and its end after a time. */
  public void addFault(
      long atMillis, long durationMillis, String description, Action begin, Action end) {
    add(atMillis, description + " for " + durationMillis + " ms", begin);
    add(atMillis + durationMillis, description + ": over", end);
  }

  /** How many steps it has. */
  public int size() {
    return steps.size();
  }

  /** Puts the steps in the order of their time; steps of one time stay as they were added. */
  public void sort() {
    steps.sort(Comparator.comparingLong(Step::atMillis));
  }

  /** Prints each step, a line each. */
  public void print(PrintStream out) {
    steps.forEach(step -> out.printf(Locale.ROOT, "%6d ms  %s%n", step.atMillis, step.description));
  }

  /** Runs each step at its time after the beginning (nanoTime), or at once where that is past. */
  public void play(long beganNanos) throws Exception {
    for (Step step : steps) {
      long waitMillis =
          beganNanos / NANOS_PER_MILLI + step.atMillis - System.nanoTime() / NANOS_PER_MILLI;
      if (waitMillis > 0) {
        Thread.sleep(waitMillis);
      }
      step.action.run();
    }
  }
}
