package org.amberpath.cli;

import org.amberpath.lab.registry.RegistrySizeExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab registry-size}: see {@link RegistrySizeExperiment}. */
@Command(
    name = "registry-size",
    mixinStandardHelpOptions = true,
    description = "Many caches, changes and watching clients, then all of them after an outage.")
final class LabRegistrySizeCommand extends LabExperiment {
  @Option(names = "--caches", defaultValue = "5000", description = "Default: ${DEFAULT-VALUE}.")
  private int caches;

  @Option(names = "--clients", defaultValue = "1000", description = "Default: ${DEFAULT-VALUE}.")
  private int clients;

  @Option(
      names = "--changes",
      paramLabel = "<changes>",
      defaultValue = "200",
      description = "A second. Default: ${DEFAULT-VALUE}.")
  private int changesPerSecond;

  @Override
  public Integer call() {
    return printReport(RegistrySizeExperiment.run(seed(), caches, clients, changesPerSecond));
  }
}
