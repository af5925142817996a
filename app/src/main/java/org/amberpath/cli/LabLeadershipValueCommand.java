package org.amberpath.cli;

import org.amberpath.lab.leadership.LeadershipValueExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab owner-worth}: see {@link LeadershipValueExperiment}. */
@Command(
    name = "owner-worth",
    mixinStandardHelpOptions = true,
    description = "What it is worth that one gateway tries and fills for all, on a virtual clock.")
final class LabLeadershipValueCommand extends LabExperiment {
  @Option(names = "--gateways", defaultValue = "12", description = "Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(
      names = "--caches",
      defaultValue = "10",
      description = "Edge caches. Default: ${DEFAULT-VALUE}.")
  private int caches;

  @Option(
      names = "--pairs",
      defaultValue = "5",
      description = "Seeds, each with and without. Default: ${DEFAULT-VALUE}.")
  private int pairs;

  @Override
  public Integer call() {
    return printReport(LeadershipValueExperiment.run(seed(), gateways, caches, pairs, System.out));
  }
}
