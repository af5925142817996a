package org.amberpath.lab.simulation;

import java.util.PriorityQueue;

/**
 * Discrete-event scheduler with a virtual clock. It runs tasks in the order of their time and, at
 * the same nanosecond, in the order in which they were scheduled. Confined to one thread.
 */
public final class VirtualScheduler {
  private record Entry(long timeNanos, long sequence, Runnable task) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long nowNanos;
  private long nextSequence;

  /** Creates a scheduler without tasks whose clock starts at the given time. */
  public VirtualScheduler(long epochNanos) {
    nowNanos = epochNanos;
  }

  /** Returns the present time of the virtual clock, in nanoseconds. */
  public long nowNanos() {
    return nowNanos;
  }

  /**
   * Schedules a task at a time of the virtual clock; a time that has passed is replaced by the
   * present one.
   */
  public void schedule(long timeNanos, Runnable task) {
    entries.add(new Entry(Math.max(nowNanos, timeNanos), nextSequence++, task));
  }

  /** Schedules a task after a delay in nanoseconds. */
  public void scheduleAfter(long delayNanos, Runnable task) {
    schedule(nowNanos + delayNanos, task);
  }

  /**
   * Advances the clock to the next task and runs that task.
   *
   * @return false if no task is due at or before the end; the clock is then set to the end
   */
  public boolean runNext(long endNanos) {
    if (entries.isEmpty() || entries.peek().timeNanos > endNanos) {
      nowNanos = endNanos;
      return false;
    }
    Entry next = entries.poll();
    nowNanos = next.timeNanos;
    next.task.run();
    return true;
  }

  /** Runs all tasks that are due at or before the end, then sets the clock to the end. */
  public void runUntil(long endNanos) {
    while (runNext(endNanos)) {
      // runNext() in the loop condition runs the tasks.
    }
  }
}
