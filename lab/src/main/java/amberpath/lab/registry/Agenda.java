package amberpath.lab.registry;

import java.util.PriorityQueue;

/** A virtual clock: what is due, in the order of its time and, within one nanosecond, in that of its coming. */
final class Agenda {
  private record Entry(long at, long order, Runnable what) implements Comparable<Entry> {
    @Override public int compareTo(Entry other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long now, order;

  Agenda(long start) {
    now = start;
  }

  long now() {
    return now;
  }

  void at(long time, Runnable what) {
    entries.add(new Entry(Math.max(now, time), order++, what));
  }

  /** Plays the next entry; false once none is due before the end. */
  boolean step(long end) {
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
