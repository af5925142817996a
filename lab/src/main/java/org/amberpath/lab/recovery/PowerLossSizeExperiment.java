package org.amberpath.lab.recovery;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.VirtualFleet.Opening;
import org.amberpath.lab.VirtualFleet.Plan;

/** A power loss of all, with three ways of opening, paired by seed, on the virtual clock. */
public final class PowerLossSizeExperiment {
  private PowerLossSizeExperiment() {}

  /** Plays so many seeds, each in all ways; the origin bears that part of all GETs at once. */
  public static ExperimentReport run(
      long seed, int gateways, int caches, int pairs, double origin, PrintStream out) {
    List<Map<Opening, Map<String, Double>>> played =
        LongStream.range(seed, seed + pairs)
            .parallel()
            .mapToObj(
                each -> {
                  Map<Opening, Map<String, Double>> one = new TreeMap<>();
                  for (Opening way : Opening.values()) {
                    try {
                      one.put(
                          way,
                          new PowerLossModel(
                                  new Plan(each, gateways, caches, false, false, way, origin))
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
            .figure("pairs", pairs)
            .figure("origin_bears", origin);
    out.printf(
        Locale.ROOT,
        "%-40s %12s %12s %12s   by returns against at once, each seed%n",
        "",
        "at once",
        "staggered",
        "by returns");
    for (String name : played.get(0).get(Opening.AT_ONCE).keySet()) {
      StringBuilder gains = new StringBuilder();
      played.forEach(
          one ->
              gains.append(
                  String.format(
                      Locale.ROOT,
                      " %+.3g",
                      one.get(Opening.BY_RETURNS).get(name) - one.get(Opening.AT_ONCE).get(name))));
      out.printf(
          Locale.ROOT,
          "%-40s %12.3f %12.3f %12.3f  %s%n",
          name,
          mean(played, Opening.AT_ONCE, name),
          mean(played, Opening.STAGGERED, name),
          mean(played, Opening.BY_RETURNS, name),
          gains);
      for (Opening way : Opening.values()) {
        result.figure(name + "_" + way.name().toLowerCase(Locale.ROOT), mean(played, way, name));
      }
    }
    return result.bar(
        "a cold cache never gets more than it bears",
        played.stream()
            .flatMap(one -> one.values().stream())
            .allMatch(one -> one.get("cold_fell") == 0));
  }

  private static double mean(List<Map<Opening, Map<String, Double>>> of, Opening way, String name) {
    return of.stream().mapToDouble(one -> one.get(way).get(name)).average().orElse(0);
  }
}
