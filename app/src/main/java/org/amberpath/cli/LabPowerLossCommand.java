package org.amberpath.cli;

import org.amberpath.lab.recovery.PowerLossSizeExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab powerloss-size}: see {@link PowerLossSizeExperiment}. */
@Command(
    name = "powerloss-size",
    mixinStandardHelpOptions = true,
    description = "A power loss of all, with three ways of opening, on a virtual clock.")
final class LabPowerLossCommand extends LabExperiment {
  @Option(names = "--gateways", defaultValue = "45", description = "Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(
      names = "--caches",
      defaultValue = "20",
      description = "Edge caches. Default: ${DEFAULT-VALUE}.")
  private int caches;

  @Option(
      names = "--pairs",
      defaultValue = "5",
      description = "Seeds, each in all ways. Default: ${DEFAULT-VALUE}.")
  private int pairs;

  @Option(
      names = "--origin",
      paramLabel = "<origin>",
      defaultValue = "0.2",
      description = "The part of all GETs that the origin bears. Default: ${DEFAULT-VALUE}.")
  private double originCapacity;

  @Override
  public Integer call() {
    return printReport(
        PowerLossSizeExperiment.run(seed(), gateways, caches, pairs, originCapacity, System.out));
  }
}
