package org.amberpath.cli;

import java.util.Map;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.simulation.SeededRuns;
import picocli.CommandLine.Option;

/**
 * Base class of experiments that run a model on a virtual clock, by default many times, each run
 * from its own seed. With {@code --runs 1} the run prints its trace.
 */
abstract class LabModelExperiment extends LabExperiment {
  private static final long NANOS_PER_MILLI = 1_000_000;

  @Option(
      names = "--runs",
      defaultValue = "10000",
      description = "Number of runs; a single run prints its trace. Default: ${DEFAULT-VALUE}.")
  private int runs;

  abstract SeededRuns.Model model();

  @Override
  public final Integer call() {
    ExperimentReport report = new ExperimentReport(seed());
    if (runs == 1) {
      SeededRuns.Result result = SeededRuns.runOne(model(), seed(), System.out::println);
      return printReport(
          report
              .figure("missed", String.valueOf(result.violation()))
              .bar("all bars", result.violation() == null));
    }
    long startedNanos = System.nanoTime();
    Map<String, Object> totals = SeededRuns.runMany(model(), seed(), runs);
    totals.forEach(report::figure);
    return printReport(
        report
            .figure("took_ms", (System.nanoTime() - startedNanos) / NANOS_PER_MILLI)
            .bar("all bars in all runs", totals.get("failed").equals(0L)));
  }
}
