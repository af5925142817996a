package org.amberpath.lab;

import java.util.PriorityQueue;

/**
 * A virtual clock: what is due, in the order of its time and, within one nanosecond, in that of its
 * coming.
 */
public final class VirtualScheduler {
  private record Entry(long at, long order, Runnable what) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long now, order;

  /** Begins at a time. */
  public VirtualScheduler(long start) {
    now = start;
  }

  public long now() {
    return now;
  }

  /** Plays something at a time; at once where that is past. */
  public void at(long time, Runnable what) {
    entries.add(new Entry(Math.max(now, time), order++, what));
  }

  /** Plays the next entry; false once none is due before the end. */
  public boolean step(long end) {
    if (entries.isEmpty() || entries.peek().at > end) {
      now = end;
      return false;
    }
    Entry next = entries.poll();
    now = next.at;
    next.what.run();
    return true;
  }
}
