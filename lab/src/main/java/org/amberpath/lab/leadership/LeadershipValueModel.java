package org.amberpath.lab.leadership;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.lab.VirtualFleet;
import org.amberpath.routing.EndpointState;

/** A fifth of the caches hang and come back, and one dies and comes back cold. */
final class LeadershipValueModel extends VirtualFleet {
  static final int FAULT_SECOND = 20;
  static final int OUTAGE_SECONDS = 12;
  static final int OBSERVED_SECONDS = 25;
  private static final int RECOVERY_SECOND = FAULT_SECOND + OUTAGE_SECONDS;
  private static final int END_SECOND = RECOVERY_SECOND + OBSERVED_SECONDS;
  private static final long DISCOVERY_DELAY_NANOS = 500 * NANOS_PER_MILLI;

  private final int hungCaches;

  LeadershipValueModel(Plan plan) throws IOException {
    super(plan, END_SECOND);
    hungCaches = Math.max(1, plan.edgeCaches() / 5);
  }

  @Override
  protected void scheduleScenario() {
    int crashed = plan.edgeCaches() - 1;
    scheduler.schedule(
        EPOCH_NANOS + FAULT_SECOND * NANOS_PER_SECOND,
        () -> {
          caches.subList(0, hungCaches).forEach(cache -> cache.hung = true);
          caches.get(crashed).crash();
        });
    scheduler.schedule(
        EPOCH_NANOS + FAULT_SECOND * NANOS_PER_SECOND + DISCOVERY_DELAY_NANOS,
        () -> announceEndpoint(crashed, EndpointState.GONE, 0));
    scheduler.schedule(
        EPOCH_NANOS + RECOVERY_SECOND * NANOS_PER_SECOND,
        () -> {
          caches.subList(0, hungCaches).forEach(SimulatedCache::resume);
          caches.get(crashed).restart();
        });
    scheduler.schedule(
        EPOCH_NANOS + RECOVERY_SECOND * NANOS_PER_SECOND + 50 * NANOS_PER_MILLI,
        () ->
            announceEndpoint(
                crashed, EndpointState.UP, EPOCH_NANOS + RECOVERY_SECOND * NANOS_PER_SECOND));
  }

  @Override
  protected void requestArrived(SimulatedCache cache, boolean synthetic) {
    if (cache.index < hungCaches
        && scheduler.nowNanos() >= EPOCH_NANOS + FAULT_SECOND * NANOS_PER_SECOND) {
      countAt("hung", scheduler.nowNanos());
    }
  }

  @Override
  protected Map<String, Double> figures() {
    Map<String, Double> figures = new TreeMap<>();
    double shareBefore = goodShare(FAULT_SECOND - 8, FAULT_SECOND - 1);
    figures.put("before", shareBefore);
    figures.put("while_out", goodShare(FAULT_SECOND, RECOVERY_SECOND));
    figures.put("after_5s", goodShare(RECOVERY_SECOND, RECOVERY_SECOND + 5));
    figures.put("seconds_to_0.95", secondsUntilRestored(RECOVERY_SECOND, END_SECOND, shareBefore));
    // The first two seconds hold what was on its way; in five it has been found out.
    figures.put("calls_while_out_from_2s", total("hung", FAULT_SECOND + 2, RECOVERY_SECOND));
    figures.put("calls_while_out_from_5s", total("hung", FAULT_SECOND + 5, RECOVERY_SECOND));
    figures.put(
        "calls_in_the_first_second_back", total("hung", RECOVERY_SECOND, RECOVERY_SECOND + 1));
    figures.put("origin_fills_after", total("origin", RECOVERY_SECOND, END_SECOND));
    figures.put("viewers_misses_at_the_cold_one", total("cold_miss", RECOVERY_SECOND, END_SECOND));
    figures.put(
        "viewers_hits_at_the_cold_one_in_5s",
        total("cold_hit", RECOVERY_SECOND, RECOVERY_SECOND + 5));
    figures.put("cold_most_of_bound", peakWarmUpLoadPerMille / 1000.0);
    figures.put("cold_fell", (double) warmUpOverloads);
    return figures;
  }
}
