package org.amberpath.lab.testbed;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.amberpath.lab.LoadGenerator;

/**
 * Of each second since a testbed began, the requests that were to be sent and those that were
 * returned, while their gateway was there. Only for the testbed's event loop.
 *
 * <p>Bounds: an hour.
 */
final class ServiceRecord {
  private static final int MAX_SECONDS = 3600;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final long beganNanos = System.nanoTime();
  private final long requestTimeoutNanos;
  private final long[] offered = new long[MAX_SECONDS];
  private final long[] returned = new long[MAX_SECONDS];

  ServiceRecord(long requestTimeoutNanos) {
    this.requestTimeoutNanos = requestTimeoutNanos;
  }

  void offered(GatewaySlot slot, long sentAtNanos) {
    count(slot, offered, sentAtNanos);
  }

  void returned(GatewaySlot slot, long sentAtNanos) {
    count(slot, returned, sentAtNanos);
  }

  private void count(GatewaySlot slot, long[] counts, long sentAtNanos) {
    if (!slot.wasAway(sentAtNanos, sentAtNanos + requestTimeoutNanos)) {
      counts[(int) Math.min(counts.length - 1, second(sentAtNanos))]++;
    }
  }

  private long second(long timeNanos) {
    return (timeNanos - beganNanos) / NANOS_PER_SECOND;
  }

  /** Requests returned of those that were to be sent, in the whole seconds between two times. */
  double share(long fromNanos, long toNanos) {
    long offeredCount = 0;
    long returnedCount = 0;
    for (long second = second(fromNanos) + 1; second < second(toNanos); second++) {
      offeredCount += offered[(int) second];
      returnedCount += returned[(int) second];
    }
    return offeredCount == 0 ? 1 : (double) returnedCount / offeredCount;
  }

  /** How requests ended, by name, over all gateways. */
  static Map<String, Long> outcomes(List<GatewaySlot> slots) {
    Map<String, Long> outcomes = new LinkedHashMap<>();
    for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
      outcomes.put(
          outcome.name().toLowerCase(Locale.ROOT), sum(slots, each -> each.countOf(outcome)));
    }
    outcomes.put("excused", sum(slots, LoadGenerator::excusedLosses));
    outcomes.put("unsent", sum(slots, LoadGenerator::notSent));
    return outcomes;
  }

  private static long sum(List<GatewaySlot> slots, ToLongFunction<LoadGenerator> count) {
    return slots.stream().flatMap(slot -> slot.loadGenerators().stream()).mapToLong(count).sum();
  }
}
