package org.amberpath.lab.simulation;

import java.util.PriorityQueue;

/**
 * A virtual clock with a queue of tasks, run in the order of their time and, within one nanosecond,
 * in the order in which they were scheduled. One thread only.
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

  /** A clock that shows a time, and has nothing to run. */
  public VirtualScheduler(long epochNanos) {
    nowNanos = epochNanos;
  }

  /** The present time of this clock, in nanoseconds. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Runs a task at a time; at once where that time has passed. */
  public void schedule(long timeNanos, Runnable task) {
    entries.add(new Entry(Math.max(nowNanos, timeNanos), nextSequence++, task));
  }

  /** Runs a task so many nanoseconds from now. */
  public void scheduleAfter(long delayNanos, Runnable task) {
    schedule(nowNanos + delayNanos, task);
  }

  /**
   * Runs the next task.
   *
   * @return false, with the clock set to the end, once no task is due at or before the end
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

  /** Runs all tasks that are due at or before the end, and sets the clock to the end. */
  public void runUntil(long endNanos) {
    while (runNext(endNanos)) {
      // The condition does the work.
    }
  }
}
