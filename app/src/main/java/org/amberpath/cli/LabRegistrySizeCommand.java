package org.amberpath.cli;

import org.amberpath.lab.registry.RegistrySizeExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab registry-size}: see {@link RegistrySizeExperiment}. */
@Command(
    name = "registry-size",
    mixinStandardHelpOptions = true,
    description =
        "Measures the cost of a registry with many caches, changes and clients on a virtual clock,"
            + " and the reconnection of all clients after an outage.")
final class LabRegistrySizeCommand extends LabExperiment {
  @Option(
      names = "--caches",
      defaultValue = "5000",
      description = "Number of caches. Default: ${DEFAULT-VALUE}.")
  private int caches;

  @Option(
      names = "--clients",
      defaultValue = "1000",
      description = "Number of clients that watch the registry. Default: ${DEFAULT-VALUE}.")
  private int clients;

  @Option(
      names = "--changes",
      paramLabel = "<changes>",
      defaultValue = "200",
      description = "Changes per second. Default: ${DEFAULT-VALUE}.")
  private int changesPerSecond;

  @Override
  public Integer call() {
    return printReport(RegistrySizeExperiment.run(seed(), caches, clients, changesPerSecond));
  }
}
