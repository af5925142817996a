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
  static final int WARM_S = 20;
  private static final int AWAY_S = 6, END_S = 60;
  private static final long SHORTEST = 500 * MS, TOLD = 50 * MS;

  PowerLossModel(Plan plan) throws IOException {
    super(plan, END_S);
  }

  private long away() {
    return SHORTEST + chance.nextLong(AWAY_S * SECOND - SHORTEST);
  }

  @Override
  protected void script() {
    long loss = START + WARM_S * SECOND;
    hubsHoldAll();
    agenda.at(
        loss,
        () -> {
          gateways.forEach(One::dies);
          caches.subList(0, caches.size() - 1).forEach(Cache::dies);
        });
    for (Cache cache : caches.subList(0, caches.size() - 1)) {
      agenda.at(
          loss + away(),
          () -> {
            cache.starts();
            long startedAt = agenda.now();
            agenda.at(agenda.now() + TOLD, () -> tell(cache.index, EndpointState.UP, startedAt));
          });
    }
    for (One one : gateways) {
      agenda.at(loss + away(), () -> one.start(true));
    }
  }

  @Override
  protected Map<String, Double> figures() {
    Map<String, Double> figures = new TreeMap<>();
    double before = share(WARM_S - 8, WARM_S - 1);
    int back = WARM_S + AWAY_S, last = END_S - 4;
    figures.put("before", before);
    figures.put("seconds_to_0.95_from_the_last_return", secondsBack(back, last, before));
    figures.put("served_in_the_20s_from_the_loss", share(WARM_S, WARM_S + 20));
    figures.put("good_lost_in_seconds_of_before", lost(last, before));
    figures.put("origin_peak_in_100ms", (double) originPeak(WARM_S));
    figures.put("origin_fills", sum("origin", WARM_S, last));
    figures.put("shed", sum("shed", WARM_S, last));
    figures.put("turned_away_unread", sum("turned_away", WARM_S, last));
    figures.put("cold_most_of_bound", coldMost / 1000.0);
    figures.put("cold_fell", (double) coldFell);
    return figures;
  }

  /** What was not served, in seconds of full service. */
  private double lost(int last, double before) {
    double lost = 0;
    for (int second = WARM_S; second < last; second++) {
      lost += before - share(second, second + 1);
    }
    return lost / before;
  }
}
