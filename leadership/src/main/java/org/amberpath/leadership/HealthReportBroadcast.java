package org.amberpath.leadership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Schedules a leader's broadcasts of reports to all gateways: {@value #MAX_RECIPIENTS_PER_TICK}
 * recipients per tick, a broadcast every {@value #INTERVAL_MILLIS} ms, or sooner if a result has
 * changed. If there are more endpoints than fit into a message, successive broadcasts report
 * different ones.
 */
final class HealthReportBroadcast {
  private static final int MAX_RECIPIENTS_PER_TICK = 20;
  private static final int INTERVAL_MILLIS = 4000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Round numbers wrap at this value; a round number only selects the endpoints of a broadcast. */
  private static final int MAX_ROUND = 64;

  private final ArrayDeque<String> pendingRecipients = new ArrayDeque<>();
  private long nextBroadcastNanos;
  private int round;

  /** Records a changed result: the next broadcast begins as soon as the current one has ended. */
  void resultChanged(long nowNanos) {
    nextBroadcastNanos = nowNanos;
  }

  /**
   * Returns the recipients of this tick. Begins a broadcast to all gateways present if one is due.
   */
  List<String> nextRecipients(long nowNanos, List<String> present) {
    if (pendingRecipients.isEmpty() && nowNanos >= nextBroadcastNanos) {
      pendingRecipients.addAll(present);
      round = (round + 1) % MAX_ROUND;
      nextBroadcastNanos = nowNanos + INTERVAL_MILLIS * NANOS_PER_MILLI;
    }
    List<String> recipients = new ArrayList<>();
    while (!pendingRecipients.isEmpty() && recipients.size() < MAX_RECIPIENTS_PER_TICK) {
      recipients.add(pendingRecipients.poll());
    }
    return recipients;
  }

  /** Returns those of the given endpoints that the current broadcast reports on. */
  List<String> selectEndpoints(List<String> endpoints) {
    List<String> selected = new ArrayList<>();
    int count = Math.min(HealthCheckCoordinator.MAX_ENDPOINTS_PER_MESSAGE, endpoints.size());
    for (int index = 0; index < count; index++) {
      selected.add(
          endpoints.get(
              (round * HealthCheckCoordinator.MAX_ENDPOINTS_PER_MESSAGE + index)
                  % endpoints.size()));
    }
    return selected;
  }

  void clear() {
    pendingRecipients.clear();
  }
}
