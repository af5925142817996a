package org.amberpath.lab.testbed;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.amberpath.lab.LoadGenerator;

/**
 * Counts, for each second since the start of a testbed, the requests that were scheduled and those
 * that were returned, excluding requests to gateways that could not serve. Confined to the
 * testbed's event loop.
 *
 * <p>Bounds: one hour; later requests are counted in the last second.
 */
final class ServiceRecord {
  private static final int MAX_SECONDS = 3600;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final long startedAtNanos = System.nanoTime();
  private final long requestTimeoutNanos;
  private final long[] scheduledCounts = new long[MAX_SECONDS];
  private final long[] returnedCounts = new long[MAX_SECONDS];

  ServiceRecord(long requestTimeoutNanos) {
    this.requestTimeoutNanos = requestTimeoutNanos;
  }

  void offered(GatewaySlot slot, long sentAtNanos) {
    count(slot, scheduledCounts, sentAtNanos);
  }

  void returned(GatewaySlot slot, long sentAtNanos) {
    count(slot, returnedCounts, sentAtNanos);
  }

  private void count(GatewaySlot slot, long[] counts, long sentAtNanos) {
    if (!slot.wasUnavailable(sentAtNanos, sentAtNanos + requestTimeoutNanos)) {
      counts[(int) Math.min(counts.length - 1, secondOf(sentAtNanos))]++;
    }
  }

  private long secondOf(long timeNanos) {
    return (timeNanos - startedAtNanos) / NANOS_PER_SECOND;
  }

  /**
   * Returns the fraction of scheduled requests that were returned, in the complete seconds between
   * two times ({@link System#nanoTime}); 1 if none was scheduled.
   */
  double returnedShare(long fromNanos, long toNanos) {
    long scheduledCount = 0;
    long returnedCount = 0;
    for (long second = secondOf(fromNanos) + 1; second < secondOf(toNanos); second++) {
      scheduledCount += scheduledCounts[(int) second];
      returnedCount += returnedCounts[(int) second];
    }
    return scheduledCount == 0 ? 1 : (double) returnedCount / scheduledCount;
  }

  /**
   * Returns the number of requests of all gateways by outcome, and those whose loss was excused or
   * that were not sent.
   */
  static Map<String, Long> outcomes(List<GatewaySlot> slots) {
    Map<String, Long> outcomes = new LinkedHashMap<>();
    for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
      outcomes.put(
          outcome.name().toLowerCase(Locale.ROOT), sum(slots, each -> each.countOf(outcome)));
    }
    outcomes.put("excused", sum(slots, LoadGenerator::excusedLossCount));
    outcomes.put("unsent", sum(slots, LoadGenerator::notSentCount));
    return outcomes;
  }

  private static long sum(List<GatewaySlot> slots, ToLongFunction<LoadGenerator> count) {
    return slots.stream().flatMap(slot -> slot.loadGenerators().stream()).mapToLong(count).sum();
  }
}
