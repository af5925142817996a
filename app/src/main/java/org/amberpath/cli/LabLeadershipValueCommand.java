package org.amberpath.cli;

import org.amberpath.lab.leadership.LeadershipValueExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab owner-worth}: see {@link LeadershipValueExperiment}. */
@Command(
    name = "owner-worth",
    mixinStandardHelpOptions = true,
    description =
        "Compares a fleet without led tasks with one in which a leader health-checks and prefetches"
            + " for all gateways, on a virtual clock.")
final class LabLeadershipValueCommand extends LabExperiment {
  @Option(
      names = "--gateways",
      defaultValue = "12",
      description = "Number of gateways. Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(
      names = "--caches",
      defaultValue = "10",
      description = "Number of edge caches. Default: ${DEFAULT-VALUE}.")
  private int caches;

  @Option(
      names = "--pairs",
      defaultValue = "5",
      description = "Number of seeds; all variants run with each. Default: ${DEFAULT-VALUE}.")
  private int pairs;

  @Override
  public Integer call() {
    return printReport(LeadershipValueExperiment.run(seed(), gateways, caches, pairs, System.out));
  }
}
