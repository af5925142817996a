package org.amberpath.lab.leadership;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.VirtualFleet;

/**
 * The same days with nobody, with {@code probe}, and with {@code probe} and {@code warm} owned:
 * paired by seed.
 */
public final class LeadershipValueExperiment {
  private static final int FEWER = 5, AFTER_S = 5;
  private static final double NOISE = 0.01;
  private static final String CALLS = "calls_while_out_from_5s", AFTER = "after_5s";

  private enum Way {
    ALONE,
    PROBE,
    PROBE_AND_WARM
  }

  private LeadershipValueExperiment() {}

  /**
   * Plays so many seeds, each in all ways, and prints the means; figures are of the whole fleet.
   */
  public static ExperimentReport run(
      long seed, int gateways, int caches, int pairs, PrintStream out) {
    List<Map<Way, Map<String, Double>>> played =
        LongStream.range(seed, seed + pairs)
            .parallel()
            .mapToObj(
                each -> {
                  Map<Way, Map<String, Double>> one = new TreeMap<>();
                  for (Way way : Way.values()) {
                    try {
                      one.put(
                          way,
                          new LeadershipValueModel(
                                  new VirtualFleet.Plan(
                                      each,
                                      gateways,
                                      caches,
                                      way != Way.ALONE,
                                      way == Way.PROBE_AND_WARM))
                              .run());
                    } catch (IOException e) {
                      throw new UncheckedIOException(e);
                    }
                  }
                  return one;
                })
            .toList();
    ExperimentReport result =
        new ExperimentReport(seed)
            .figure("gateways", gateways)
            .figure("caches", caches)
            .figure("pairs", pairs);
    List<String> names = new ArrayList<>(played.get(0).get(Way.ALONE).keySet());
    out.printf(
        Locale.ROOT,
        "%-36s %12s %12s %16s   each seed's gain by probe, by both%n",
        "",
        "alone",
        "probe",
        "probe and warm");
    for (String name : names) {
      StringBuilder gains = new StringBuilder();
      played.forEach(
          one ->
              gains.append(
                  String.format(
                      Locale.ROOT,
                      " %+.3g/%+.3g",
                      one.get(Way.PROBE).get(name) - one.get(Way.ALONE).get(name),
                      one.get(Way.PROBE_AND_WARM).get(name) - one.get(Way.ALONE).get(name))));
      out.printf(
          Locale.ROOT,
          "%-36s %12.3f %12.3f %16.3f  %s%n",
          name,
          mean(played, Way.ALONE, name),
          mean(played, Way.PROBE, name),
          mean(played, Way.PROBE_AND_WARM, name),
          gains);
      for (Way way : Way.values()) {
        result.figure(name + "_" + way.name().toLowerCase(Locale.ROOT), mean(played, way, name));
      }
    }
    boolean fell =
        played.stream()
            .flatMap(one -> one.values().stream())
            .anyMatch(one -> one.get("cold_fell") > 0);
    return result
        .bar("a cold cache never gets more than it bears", !fell)
        .bar(
            "calls at caches that are out, once known: five times fewer",
            mean(played, Way.ALONE, CALLS) >= FEWER * mean(played, Way.PROBE, CALLS))
        .bar(
            "service while out and after, together not lower",
            whole(played, Way.PROBE) >= whole(played, Way.ALONE) - NOISE
                && whole(played, Way.PROBE_AND_WARM) >= whole(played, Way.ALONE) - NOISE);
  }

  private static double whole(List<Map<Way, Map<String, Double>>> of, Way way) {
    return (LeadershipValueModel.OUT_S * mean(of, way, "while_out")
            + AFTER_S * mean(of, way, AFTER))
        / (LeadershipValueModel.OUT_S + AFTER_S);
  }

  private static double mean(List<Map<Way, Map<String, Double>>> of, Way way, String name) {
    return of.stream().mapToDouble(one -> one.get(way).get(name)).average().orElse(0);
  }
}
