package org.amberpath.lab.leadership;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.PairedRuns;
import org.amberpath.lab.fleet.LedTasks;
import org.amberpath.lab.fleet.VirtualFleet;

/**
 * Measures the benefit of tasks that one gateway performs for the fleet: runs the same scenario
 * without such tasks, with health checks, and with health checks and prefetch, paired by seed.
 */
public final class LeadershipValueExperiment {
  private static final int MIN_CALL_RATIO = 5;
  private static final int AFTER_SECONDS = 5;
  private static final double SHARE_TOLERANCE = 0.01;
  private static final String CALLS = "calls_while_out_from_5s";

  private LeadershipValueExperiment() {}

  /**
   * Runs each seed in all variants, and prints the means of the figures of the entire fleet.
   *
   * @param seed the first seed
   * @param pairs the number of seeds
   */
  public static ExperimentReport run(
      long seed, int gateways, int caches, int pairs, PrintStream out) {
    PairedRuns<LedTasks> runs =
        PairedRuns.run(
            seed,
            pairs,
            LedTasks.class,
            (runSeed, tasks) ->
                new LeadershipValueModel(new VirtualFleet.Plan(runSeed, gateways, caches, tasks))
                    .run());
    ExperimentReport result =
        new ExperimentReport(seed)
            .figure("gateways", gateways)
            .figure("caches", caches)
            .figure("pairs", pairs);
    print(runs, out);
    runs.figureNames().forEach(name -> runs.reportMeans(name, result));
    return result
        .bar("a cold cache is never overloaded", runs.allMatch("cold_fell", count -> count == 0))
        .bar(
            "with health checks, at most a fifth of the requests to hung caches from 5 s on",
            runs.mean(LedTasks.ALONE, CALLS) >= MIN_CALL_RATIO * runs.mean(LedTasks.PROBE, CALLS))
        .bar(
            "service during and after the outage not lower by more than 0.01",
            isServiceKept(runs, LedTasks.PROBE) && isServiceKept(runs, LedTasks.PROBE_AND_WARM));
  }

  private static void print(PairedRuns<LedTasks> runs, PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%-36s %12s %12s %16s   gain per seed by probe, by both%n",
        "",
        "alone",
        "probe",
        "probe and warm");
    for (String name : runs.figureNames()) {
      out.printf(
          Locale.ROOT,
          "%-36s %12.3f %12.3f %16.3f  %s%n",
          name,
          runs.mean(LedTasks.ALONE, name),
          runs.mean(LedTasks.PROBE, name),
          runs.mean(LedTasks.PROBE_AND_WARM, name),
          runs.differences(name, LedTasks.ALONE, List.of(LedTasks.PROBE, LedTasks.PROBE_AND_WARM)));
    }
  }

  private static boolean isServiceKept(PairedRuns<LedTasks> runs, LedTasks tasks) {
    return meanService(runs, tasks) >= meanService(runs, LedTasks.ALONE) - SHARE_TOLERANCE;
  }

  private static double meanService(PairedRuns<LedTasks> runs, LedTasks tasks) {
    return (LeadershipValueModel.OUTAGE_SECONDS * runs.mean(tasks, "while_out")
            + AFTER_SECONDS * runs.mean(tasks, "after_5s"))
        / (LeadershipValueModel.OUTAGE_SECONDS + AFTER_SECONDS);
  }
}
