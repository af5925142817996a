package org.amberpath.cli;

import java.nio.file.Path;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.endpoints.EndpointsSizeExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab endpoints-size}: see {@link EndpointsSizeExperiment}. */
@Command(
    name = "endpoints-size",
    mixinStandardHelpOptions = true,
    description =
        "What one real gateway needs at the usual number of caches and at many times as many.")
final class LabEndpointsSizeCommand extends LabSocketExperiment {
  @Option(
      names = "--caches",
      defaultValue = "200",
      description = "The usual number, parents among them. Default: ${DEFAULT-VALUE}.")
  private int caches;

  @Option(
      names = "--times",
      paramLabel = "<times>",
      defaultValue = "16",
      description = "How many times as many. Default: ${DEFAULT-VALUE}.")
  private int scaleFactor;

  @Option(
      names = "--gateways",
      defaultValue = "100",
      description = "That the settings tell of; one runs. Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(
      names = "--rate",
      paramLabel = "<rate>",
      defaultValue = "30",
      description = "Requests a second to that one. Default: ${DEFAULT-VALUE}.")
  private int requestRate;

  @Option(
      names = "--sockets",
      paramLabel = "<sockets>",
      defaultValue = "1024",
      description = "Its limit of descriptors. Default: ${DEFAULT-VALUE}.")
  private int descriptorLimit;

  @Option(
      names = "--out",
      paramLabel = "<out>",
      description = "Where settings and logs go. Default: a new folder for a while.")
  private Path outputFolder;

  @Override
  int defaultSeconds() {
    return 30;
  }

  @Override
  ExperimentReport run(int seconds) throws Exception {
    return EndpointsSizeExperiment.run(
        new EndpointsSizeExperiment.Plan(
            seed(),
            caches,
            scaleFactor,
            gateways,
            requestRate,
            descriptorLimit,
            seconds,
            createFolder(outputFolder)),
        System.out);
  }
}
