package org.amberpath.lab.recovery;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.lab.fleet.FleetCache;
import org.amberpath.lab.fleet.FleetFigures;
import org.amberpath.lab.fleet.FleetGateway;
import org.amberpath.lab.fleet.VirtualFleet;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.routing.EndpointState;

/**
 * Simulates a power loss of all gateways, caches and hubs at the same time. Each restarts at a
 * random time 0.5 to 6 seconds later; the caches and hubs restart empty.
 */
final class PowerLossModel extends VirtualFleet {
  private static final int LOSS_SECOND = 20;
  private static final int MAX_DOWN_SECONDS = 6;
  private static final int END_SECOND = 60;
  private static final int LAST_SECOND = END_SECOND - 4;
  private static final long MAX_DOWN_NANOS = MAX_DOWN_SECONDS * Simulation.NANOS_PER_SECOND;
  private static final long MIN_DOWN_NANOS = 500 * Simulation.NANOS_PER_MILLI;
  private static final long ANNOUNCEMENT_DELAY_NANOS = 50 * Simulation.NANOS_PER_MILLI;

  PowerLossModel(Plan plan) throws IOException {
    super(plan, END_SECOND);
  }

  private long drawDownNanos() {
    return MIN_DOWN_NANOS + random().nextLong(MAX_DOWN_NANOS - MIN_DOWN_NANOS);
  }

  @Override
  protected void scheduleScenario() {
    long lossNanos = atSecond(LOSS_SECOND);
    fillHubs();
    List<FleetCache> edgesAndHubs = caches().subList(0, caches().size() - 1);
    scheduler()
        .schedule(
            lossNanos,
            () -> {
              gateways().forEach(FleetGateway::crash);
              edgesAndHubs.forEach(FleetCache::crash);
            });
    for (FleetCache cache : edgesAndHubs) {
      scheduler().schedule(lossNanos + drawDownNanos(), () -> restart(cache));
    }
    for (FleetGateway gateway : gateways()) {
      scheduler().schedule(lossNanos + drawDownNanos(), gateway::startAfterPowerLoss);
    }
  }

  private void restart(FleetCache cache) {
    cache.restart();
    long startedAtNanos = scheduler().nowNanos();
    scheduler()
        .scheduleAfter(
            ANNOUNCEMENT_DELAY_NANOS,
            () -> announceEndpoint(cache.index(), EndpointState.UP, startedAtNanos));
  }

  @Override
  protected Map<String, Double> report() {
    FleetFigures figures = figures();
    Map<String, Double> report = new TreeMap<>();
    double before = figures.goodShare(LOSS_SECOND - 8, LOSS_SECOND - 1);
    report.put("before", before);
    report.put(
        "seconds_to_0.95_from_the_last_return",
        figures.secondsUntilRestored(LOSS_SECOND + MAX_DOWN_SECONDS, LAST_SECOND, before));
    report.put("served_in_the_20s_from_the_loss", figures.goodShare(LOSS_SECOND, LOSS_SECOND + 20));
    report.put("good_lost_in_seconds_of_before", lostSeconds(before));
    report.put("origin_peak_in_100ms", (double) figures.originFillPeak(LOSS_SECOND));
    report.put("origin_fills", figures.total("origin", LOSS_SECOND, LAST_SECOND));
    report.put("shed", figures.total("shed", LOSS_SECOND, LAST_SECOND));
    report.put("turned_away_unread", figures.total("turned_away", LOSS_SECOND, LAST_SECOND));
    report.put("cold_most_of_bound", figures.peakWarmUpLoad());
    report.put("cold_fell", (double) figures.warmUpOverloads());
    return report;
  }

  /** Returns the service lost from the power loss on, in seconds of the service before it. */
  private double lostSeconds(double before) {
    double lost = 0;
    for (int second = LOSS_SECOND; second < LAST_SECOND; second++) {
      lost += before - figures().goodShare(second, second + 1);
    }
    return lost / before;
  }
}
