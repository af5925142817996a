package org.amberpath.lab.recovery;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.lab.VirtualFleet;
import org.amberpath.routing.EndpointState;

/**
 * All gateways, caches and hubs lose power in one moment and come back within some seconds, cold,
 * in any order.
 */
final class PowerLossModel extends VirtualFleet {
  static final int LOSS_SECOND = 20;
  private static final int MAX_AWAY_SECONDS = 6;
  private static final int END_SECOND = 60;
  private static final long MIN_AWAY_NANOS = 500 * NANOS_PER_MILLI;
  private static final long DISCOVERY_DELAY_NANOS = 50 * NANOS_PER_MILLI;

  PowerLossModel(Plan plan) throws IOException {
    super(plan, END_SECOND);
  }

  private long drawAwayNanos() {
    return MIN_AWAY_NANOS + random.nextLong(MAX_AWAY_SECONDS * NANOS_PER_SECOND - MIN_AWAY_NANOS);
  }

  @Override
  protected void scheduleScenario() {
    long lossNanos = EPOCH_NANOS + LOSS_SECOND * NANOS_PER_SECOND;
    fillHubs();
    scheduler.schedule(
        lossNanos,
        () -> {
          gateways.forEach(SimulatedGateway::crash);
          caches.subList(0, caches.size() - 1).forEach(SimulatedCache::crash);
        });
    for (SimulatedCache cache : caches.subList(0, caches.size() - 1)) {
      scheduler.schedule(
          lossNanos + drawAwayNanos(),
          () -> {
            cache.restart();
            long startedAtNanos = scheduler.nowNanos();
            scheduler.schedule(
                scheduler.nowNanos() + DISCOVERY_DELAY_NANOS,
                () -> announceEndpoint(cache.index, EndpointState.UP, startedAtNanos));
          });
    }
    for (SimulatedGateway gateway : gateways) {
      scheduler.schedule(lossNanos + drawAwayNanos(), () -> gateway.start(true));
    }
  }

  @Override
  protected Map<String, Double> figures() {
    Map<String, Double> figures = new TreeMap<>();
    double shareBefore = goodShare(LOSS_SECOND - 8, LOSS_SECOND - 1);
    int fromSecond = LOSS_SECOND + MAX_AWAY_SECONDS;
    int lastSecond = END_SECOND - 4;
    figures.put("before", shareBefore);
    figures.put(
        "seconds_to_0.95_from_the_last_return",
        secondsUntilRestored(fromSecond, lastSecond, shareBefore));
    figures.put("served_in_the_20s_from_the_loss", goodShare(LOSS_SECOND, LOSS_SECOND + 20));
    figures.put("good_lost_in_seconds_of_before", lostSeconds(lastSecond, shareBefore));
    figures.put("origin_peak_in_100ms", (double) originFillPeak(LOSS_SECOND));
    figures.put("origin_fills", total("origin", LOSS_SECOND, lastSecond));
    figures.put("shed", total("shed", LOSS_SECOND, lastSecond));
    figures.put("turned_away_unread", total("turned_away", LOSS_SECOND, lastSecond));
    figures.put("cold_most_of_bound", peakWarmUpLoadPerMille / 1000.0);
    figures.put("cold_fell", (double) warmUpOverloads);
    return figures;
  }

  /** What was not served, in seconds of full service. */
  private double lostSeconds(int lastSecond, double shareBefore) {
    double lost = 0;
    for (int second = LOSS_SECOND; second < lastSecond; second++) {
      lost += shareBefore - goodShare(second, second + 1);
    }
    return lost / shareBefore;
  }
}
