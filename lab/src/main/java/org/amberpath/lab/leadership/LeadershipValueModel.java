package org.amberpath.lab.leadership;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.lab.VirtualFleet;
import org.amberpath.routing.EndpointState;

/** A fifth of the caches hang and come back, and one dies and comes back cold. */
final class LeadershipValueModel extends VirtualFleet {
  static final int WARM_S = 20, OUT_S = 12, AFTER_S = 25;
  private static final int BACK_S = WARM_S + OUT_S, END_S = BACK_S + AFTER_S;
  private static final long TOLD_LATE = 500 * MS;

  private final int hung;

  LeadershipValueModel(Plan plan) throws IOException {
    super(plan, END_S);
    hung = Math.max(1, plan.caches() / 5);
  }

  @Override
  protected void script() {
    int cold = plan.caches() - 1;
    agenda.at(
        START + WARM_S * SECOND,
        () -> {
          caches.subList(0, hung).forEach(cache -> cache.hangs = true);
          caches.get(cold).dies();
        });
    agenda.at(START + WARM_S * SECOND + TOLD_LATE, () -> tell(cold, EndpointState.GONE, 0));
    agenda.at(
        START + BACK_S * SECOND,
        () -> {
          caches.subList(0, hung).forEach(Cache::wakes);
          caches.get(cold).starts();
        });
    agenda.at(
        START + BACK_S * SECOND + 50 * MS,
        () -> tell(cold, EndpointState.UP, START + BACK_S * SECOND));
  }

  @Override
  protected void came(Cache to, boolean own) {
    if (to.index < hung && agenda.now() >= START + WARM_S * SECOND) {
      count("hung", agenda.now());
    }
  }

  @Override
  protected Map<String, Double> figures() {
    Map<String, Double> figures = new TreeMap<>();
    double before = share(WARM_S - 8, WARM_S - 1);
    figures.put("before", before);
    figures.put("while_out", share(WARM_S, BACK_S));
    figures.put("after_5s", share(BACK_S, BACK_S + 5));
    figures.put("seconds_to_0.95", secondsBack(BACK_S, END_S, before));
    // The first two seconds hold what was on its way; in five it has been found out.
    figures.put("calls_while_out_from_2s", sum("hung", WARM_S + 2, BACK_S));
    figures.put("calls_while_out_from_5s", sum("hung", WARM_S + 5, BACK_S));
    figures.put("calls_in_the_first_second_back", sum("hung", BACK_S, BACK_S + 1));
    figures.put("origin_fills_after", sum("origin", BACK_S, END_S));
    figures.put("viewers_misses_at_the_cold_one", sum("cold_miss", BACK_S, END_S));
    figures.put("viewers_hits_at_the_cold_one_in_5s", sum("cold_hit", BACK_S, BACK_S + 5));
    figures.put("cold_most_of_bound", coldMost / 1000.0);
    figures.put("cold_fell", (double) coldFell);
    return figures;
  }
}
