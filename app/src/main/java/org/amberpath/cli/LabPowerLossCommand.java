package org.amberpath.cli;

import org.amberpath.lab.recovery.PowerLossSizeExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab powerloss-size}: see {@link PowerLossSizeExperiment}. */
@Command(
    name = "powerloss-size",
    mixinStandardHelpOptions = true,
    description =
        "Compares three policies by which gateways open after a power loss of all gateways and"
            + " caches, on a virtual clock.")
final class LabPowerLossCommand extends LabExperiment {
  @Option(
      names = "--gateways",
      defaultValue = "45",
      description = "Number of gateways. Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(
      names = "--caches",
      defaultValue = "20",
      description = "Number of edge caches. Default: ${DEFAULT-VALUE}.")
  private int caches;

  @Option(
      names = "--pairs",
      defaultValue = "5",
      description = "Number of seeds; all policies run with each. Default: ${DEFAULT-VALUE}.")
  private int pairs;

  @Option(
      names = "--origin",
      paramLabel = "<origin>",
      defaultValue = "0.2",
      description =
          "Share of all GET requests that the origin can serve. Default: ${DEFAULT-VALUE}.")
  private double originCapacity;

  @Override
  public Integer call() {
    return printReport(
        PowerLossSizeExperiment.run(seed(), gateways, caches, pairs, originCapacity, System.out));
  }
}
