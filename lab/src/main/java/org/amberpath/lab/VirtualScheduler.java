package org.amberpath.lab;

import java.util.PriorityQueue;

/**
 * A virtual clock: what is due, in the order of its time and, within one nanosecond, in that of its
 * coming.
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

  /** Begins at a time. */
  public VirtualScheduler(long epochNanos) {
    nowNanos = epochNanos;
  }

  public long nowNanos() {
    return nowNanos;
  }

  /** Plays something at a time; at once where that is past. */
  public void schedule(long timeNanos, Runnable task) {
    entries.add(new Entry(Math.max(nowNanos, timeNanos), nextSequence++, task));
  }

  /** Plays the next entry; false once none is due before the end. */
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
}
