package org.amberpath.lab.leadership;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.lab.fleet.FleetCache;
import org.amberpath.lab.fleet.FleetFigures;
import org.amberpath.lab.fleet.VirtualFleet;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.routing.EndpointState;

/**
 * Simulates an outage on a virtual fleet: a fifth of the edge caches hang and one crashes; after
 * {@value #OUTAGE_SECONDS} seconds the hung caches resume and the crashed one restarts empty.
 */
final class LeadershipValueModel extends VirtualFleet {
  static final int OUTAGE_SECONDS = 12;
  private static final int FAULT_SECOND = 20;
  private static final int OBSERVED_SECONDS = 25;
  private static final int RECOVERY_SECOND = FAULT_SECOND + OUTAGE_SECONDS;
  private static final int END_SECOND = RECOVERY_SECOND + OBSERVED_SECONDS;
  private static final int HUNG_ONE_IN = 5;
  private static final long LOSS_ANNOUNCEMENT_DELAY_NANOS = 500 * Simulation.NANOS_PER_MILLI;
  private static final long RETURN_ANNOUNCEMENT_DELAY_NANOS = 50 * Simulation.NANOS_PER_MILLI;

  private final int hungCaches;

  LeadershipValueModel(Plan plan) throws IOException {
    super(plan, END_SECOND);
    hungCaches = Math.max(1, plan.edgeCaches() / HUNG_ONE_IN);
  }

  @Override
  protected void scheduleScenario() {
    int crashed = plan().edgeCaches() - 1;
    long faultNanos = atSecond(FAULT_SECOND);
    long recoveryNanos = atSecond(RECOVERY_SECOND);
    scheduler()
        .schedule(
            faultNanos,
            () -> {
              caches().subList(0, hungCaches).forEach(FleetCache::hang);
              caches().get(crashed).crash();
            });
    scheduler()
        .schedule(
            faultNanos + LOSS_ANNOUNCEMENT_DELAY_NANOS,
            () -> announceEndpoint(crashed, EndpointState.GONE, 0));
    scheduler()
        .schedule(
            recoveryNanos,
            () -> {
              caches().subList(0, hungCaches).forEach(FleetCache::resume);
              caches().get(crashed).restart();
            });
    scheduler()
        .schedule(
            recoveryNanos + RETURN_ANNOUNCEMENT_DELAY_NANOS,
            () -> announceEndpoint(crashed, EndpointState.UP, recoveryNanos));
  }

  @Override
  protected void requestArrived(FleetCache cache) {
    long nowNanos = scheduler().nowNanos();
    if (cache.index() < hungCaches && nowNanos >= atSecond(FAULT_SECOND)) {
      figures().count("hung", nowNanos);
    }
  }

  @Override
  protected Map<String, Double> report() {
    FleetFigures figures = figures();
    Map<String, Double> report = new TreeMap<>();
    double before = figures.goodShare(FAULT_SECOND - 8, FAULT_SECOND - 1);
    report.put("before", before);
    report.put("while_out", figures.goodShare(FAULT_SECOND, RECOVERY_SECOND));
    report.put("after_5s", figures.goodShare(RECOVERY_SECOND, RECOVERY_SECOND + 5));
    report.put(
        "seconds_to_0.95", figures.secondsUntilRestored(RECOVERY_SECOND, END_SECOND, before));
    // The first two seconds contain requests that were in flight when the caches hung; within five
    // seconds the hung caches have been detected.
    report.put("calls_while_out_from_2s", figures.total("hung", FAULT_SECOND + 2, RECOVERY_SECOND));
    report.put("calls_while_out_from_5s", figures.total("hung", FAULT_SECOND + 5, RECOVERY_SECOND));
    report.put(
        "calls_in_the_first_second_back",
        figures.total("hung", RECOVERY_SECOND, RECOVERY_SECOND + 1));
    report.put("origin_fills_after", figures.total("origin", RECOVERY_SECOND, END_SECOND));
    report.put(
        "viewers_misses_at_the_cold_one", figures.total("cold_miss", RECOVERY_SECOND, END_SECOND));
    report.put(
        "viewers_hits_at_the_cold_one_in_5s",
        figures.total("cold_hit", RECOVERY_SECOND, RECOVERY_SECOND + 5));
    report.put("cold_most_of_bound", figures.peakWarmUpLoad());
    report.put("cold_fell", (double) figures.warmUpOverloads());
    return report;
  }
}
