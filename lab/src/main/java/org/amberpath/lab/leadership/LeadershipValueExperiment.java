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
  private static final int MIN_CALL_RATIO = 5;
  private static final int AFTER_SECONDS = 5;
  private static final double SHARE_TOLERANCE = 0.01;
  private static final String CALLS = "calls_while_out_from_5s";
  private static final String AFTER = "after_5s";

  private enum LedTasks {
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
    List<Map<LedTasks, Map<String, Double>>> results =
        LongStream.range(seed, seed + pairs)
            .parallel()
            .mapToObj(
                runSeed -> {
                  Map<LedTasks, Map<String, Double>> one = new TreeMap<>();
                  for (LedTasks tasks : LedTasks.values()) {
                    try {
                      one.put(
                          tasks,
                          new LeadershipValueModel(
                                  new VirtualFleet.Plan(
                                      runSeed,
                                      gateways,
                                      caches,
                                      tasks != LedTasks.ALONE,
                                      tasks == LedTasks.PROBE_AND_WARM))
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
    List<String> names = new ArrayList<>(results.get(0).get(LedTasks.ALONE).keySet());
    out.printf(
        Locale.ROOT,
        "%-36s %12s %12s %16s   each seed's gain by probe, by both%n",
        "",
        "alone",
        "probe",
        "probe and warm");
    for (String name : names) {
      StringBuilder differences = new StringBuilder();
      results.forEach(
          one ->
              differences.append(
                  String.format(
                      Locale.ROOT,
                      " %+.3g/%+.3g",
                      one.get(LedTasks.PROBE).get(name) - one.get(LedTasks.ALONE).get(name),
                      one.get(LedTasks.PROBE_AND_WARM).get(name)
                          - one.get(LedTasks.ALONE).get(name))));
      out.printf(
          Locale.ROOT,
          "%-36s %12.3f %12.3f %16.3f  %s%n",
          name,
          mean(results, LedTasks.ALONE, name),
          mean(results, LedTasks.PROBE, name),
          mean(results, LedTasks.PROBE_AND_WARM, name),
          differences);
      for (LedTasks tasks : LedTasks.values()) {
        result.figure(
            name + "_" + tasks.name().toLowerCase(Locale.ROOT), mean(results, tasks, name));
      }
    }
    boolean overloaded =
        results.stream()
            .flatMap(one -> one.values().stream())
            .anyMatch(one -> one.get("cold_fell") > 0);
    return result
        .bar("a cold cache never gets more than it bears", !overloaded)
        .bar(
            "calls at caches that are out, once known: five times fewer",
            mean(results, LedTasks.ALONE, CALLS)
                >= MIN_CALL_RATIO * mean(results, LedTasks.PROBE, CALLS))
        .bar(
            "service while out and after, together not lower",
            meanService(results, LedTasks.PROBE)
                    >= meanService(results, LedTasks.ALONE) - SHARE_TOLERANCE
                && meanService(results, LedTasks.PROBE_AND_WARM)
                    >= meanService(results, LedTasks.ALONE) - SHARE_TOLERANCE);
  }

  private static double meanService(
      List<Map<LedTasks, Map<String, Double>>> results, LedTasks tasks) {
    return (LeadershipValueModel.OUTAGE_SECONDS * mean(results, tasks, "while_out")
            + AFTER_SECONDS * mean(results, tasks, AFTER))
        / (LeadershipValueModel.OUTAGE_SECONDS + AFTER_SECONDS);
  }

  private static double mean(
      List<Map<LedTasks, Map<String, Double>>> results, LedTasks tasks, String name) {
    return results.stream().mapToDouble(one -> one.get(tasks).get(name)).average().orElse(0);
  }
}
