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
import org.amberpath.lab.VirtualFleet.OpeningPolicy;
import org.amberpath.lab.VirtualFleet.Plan;

/** A power loss of all, with three ways of opening, paired by seed, on the virtual clock. */
public final class PowerLossSizeExperiment {
  private PowerLossSizeExperiment() {}

  /** Plays so many seeds, each in all ways; the origin bears that part of all GETs at once. */
  public static ExperimentReport run(
      long seed, int gateways, int caches, int pairs, double originCapacity, PrintStream out) {
    List<Map<OpeningPolicy, Map<String, Double>>> results =
        LongStream.range(seed, seed + pairs)
            .parallel()
            .mapToObj(
                runSeed -> {
                  Map<OpeningPolicy, Map<String, Double>> one = new TreeMap<>();
                  for (OpeningPolicy policy : OpeningPolicy.values()) {
                    try {
                      one.put(
                          policy,
                          new PowerLossModel(
                                  new Plan(
                                      runSeed,
                                      gateways,
                                      caches,
                                      false,
                                      false,
                                      policy,
                                      originCapacity))
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
            .figure("origin_bears", originCapacity);
    out.printf(
        Locale.ROOT,
        "%-40s %12s %12s %12s   by returns against at once, each seed%n",
        "",
        "at once",
        "staggered",
        "by returns");
    for (String name : results.get(0).get(OpeningPolicy.AT_ONCE).keySet()) {
      StringBuilder differences = new StringBuilder();
      results.forEach(
          one ->
              differences.append(
                  String.format(
                      Locale.ROOT,
                      " %+.3g",
                      one.get(OpeningPolicy.BY_RETURNS).get(name)
                          - one.get(OpeningPolicy.AT_ONCE).get(name))));
      out.printf(
          Locale.ROOT,
          "%-40s %12.3f %12.3f %12.3f  %s%n",
          name,
          mean(results, OpeningPolicy.AT_ONCE, name),
          mean(results, OpeningPolicy.STAGGERED, name),
          mean(results, OpeningPolicy.BY_RETURNS, name),
          differences);
      for (OpeningPolicy policy : OpeningPolicy.values()) {
        result.figure(
            name + "_" + policy.name().toLowerCase(Locale.ROOT), mean(results, policy, name));
      }
    }
    return result.bar(
        "a cold cache never gets more than it bears",
        results.stream()
            .flatMap(one -> one.values().stream())
            .allMatch(one -> one.get("cold_fell") == 0));
  }

  private static double mean(
      List<Map<OpeningPolicy, Map<String, Double>>> results, OpeningPolicy policy, String name) {
    return results.stream().mapToDouble(one -> one.get(policy).get(name)).average().orElse(0);
  }
}
