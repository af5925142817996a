package org.amberpath.lab.recovery;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.PairedRuns;
import org.amberpath.lab.fleet.LedTasks;
import org.amberpath.lab.fleet.OpeningPolicy;
import org.amberpath.lab.fleet.VirtualFleet;

/**
 * Compares three opening policies after a power loss of all gateways and caches, paired by seed, on
 * a virtual clock.
 */
public final class PowerLossSizeExperiment {
  private PowerLossSizeExperiment() {}

  /**
   * Runs each seed with all opening policies, and prints the means.
   *
   * @param seed the first seed
   * @param pairs the number of seeds
   * @param originCapacity the share of all requests that the origin can serve at once
   */
  public static ExperimentReport run(
      long seed, int gateways, int caches, int pairs, double originCapacity, PrintStream out) {
    PairedRuns<OpeningPolicy> runs =
        PairedRuns.run(
            seed,
            pairs,
            OpeningPolicy.class,
            (runSeed, policy) ->
                new PowerLossModel(
                        new VirtualFleet.Plan(
                            runSeed, gateways, caches, LedTasks.ALONE, policy, originCapacity))
                    .run());
    ExperimentReport result =
        new ExperimentReport(seed)
            .figure("gateways", gateways)
            .figure("caches", caches)
            .figure("pairs", pairs)
            .figure("origin_bears", originCapacity);
    print(runs, out);
    runs.figureNames().forEach(name -> runs.reportMeans(name, result));
    return result.bar(
        "a cold cache is never overloaded", runs.allMatch("cold_fell", count -> count == 0));
  }

  private static void print(PairedRuns<OpeningPolicy> runs, PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%-40s %12s %12s %12s   by returns versus at once, per seed%n",
        "",
        "at once",
        "staggered",
        "by returns");
    for (String name : runs.figureNames()) {
      out.printf(
          Locale.ROOT,
          "%-40s %12.3f %12.3f %12.3f  %s%n",
          name,
          runs.mean(OpeningPolicy.AT_ONCE, name),
          runs.mean(OpeningPolicy.STAGGERED, name),
          runs.mean(OpeningPolicy.BY_RETURNS, name),
          runs.differences(name, OpeningPolicy.AT_ONCE, List.of(OpeningPolicy.BY_RETURNS)));
    }
  }
}
