package org.amberpath.leadership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The order in which a leader reports to all gateways: {@value #MAX_RECIPIENTS_PER_TICK} a tick,
 * each once in {@value #INTERVAL_MILLIS} ms, or at once where something has changed. More endpoints
 * than fit into a message take turns from one broadcast to the next.
 */
final class HealthReportBroadcast {
  private static final int MAX_RECIPIENTS_PER_TICK = 20;
  private static final int INTERVAL_MILLIS = 4000;
  private static final long MS = 1_000_000;

  /** A bound of the round's number, which has no other meaning. */
  private static final int MAX_ROUND = 64;

  private final ArrayDeque<String> recipientsLeft = new ArrayDeque<>();
  private long nextBroadcastNanos;
  private int round;

  /** The next broadcast begins as soon as the current one has ended. */
  void changed(long nowNanos) {
    nextBroadcastNanos = nowNanos;
  }

  /** The recipients of this tick, of all gateways present. */
  List<String> nextRecipients(long nowNanos, List<String> present) {
    if (recipientsLeft.isEmpty() && nowNanos >= nextBroadcastNanos) {
      recipientsLeft.addAll(present);
      round = (round + 1) % MAX_ROUND;
      nextBroadcastNanos = nowNanos + INTERVAL_MILLIS * MS;
    }
    List<String> recipients = new ArrayList<>();
    while (!recipientsLeft.isEmpty() && recipients.size() < MAX_RECIPIENTS_PER_TICK) {
      recipients.add(recipientsLeft.poll());
    }
    return recipients;
  }

  /** The endpoints that this broadcast reports of. */
  List<String> select(List<String> endpoints) {
    List<String> selected = new ArrayList<>();
    int count = Math.min(HealthCheckCoordinator.MAX_NAMED, endpoints.size());
    for (int index = 0; index < count; index++) {
      selected.add(
          endpoints.get((round * HealthCheckCoordinator.MAX_NAMED + index) % endpoints.size()));
    }
    return selected;
  }

  void clear() {
    recipientsLeft.clear();
  }
}
