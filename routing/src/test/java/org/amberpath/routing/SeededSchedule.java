package org.amberpath.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * A virtual clock with scheduled events; events that are due at the same time occur in the order in
 * which they were scheduled.
 */
final class SeededSchedule {
  private record ScheduledEvent(long atNanos, long sequence, Consumer<RoutingEventHandler> event) {}

  private final PriorityQueue<ScheduledEvent> events =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledEvent::atNanos)
              .thenComparingLong(ScheduledEvent::sequence));
  private long nowNanos;
  private long lastSequence;

  SeededSchedule(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  long nowNanos() {
    return nowNanos;
  }

  void advance(long nanos) {
    nowNanos += nanos;
  }

  void schedule(long atNanos, Consumer<RoutingEventHandler> event) {
    events.add(new ScheduledEvent(atNanos, ++lastSequence, event));
  }

  /** Whether any event was ever scheduled. */
  boolean hasScheduledAny() {
    return lastSequence > 0;
  }

  /** Removes and returns the events that are due. */
  List<Consumer<RoutingEventHandler>> removeDue() {
    List<Consumer<RoutingEventHandler>> due = new ArrayList<>();
    while (!events.isEmpty() && events.peek().atNanos() <= nowNanos) {
      due.add(events.poll().event());
    }
    return due;
  }
}
