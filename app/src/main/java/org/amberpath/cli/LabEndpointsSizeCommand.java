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
        "Measures the resources that a gateway process needs for the usual number of caches and for"
            + " a multiple of it.")
final class LabEndpointsSizeCommand extends LabSocketExperiment {
  @Option(
      names = "--caches",
      defaultValue = "200",
      description = "Usual number of caches, including parents. Default: ${DEFAULT-VALUE}.")
  private int caches;

  @Option(
      names = "--times",
      paramLabel = "<times>",
      defaultValue = "16",
      description = "Multiple of the usual number to compare with. Default: ${DEFAULT-VALUE}.")
  private int scaleFactor;

  @Option(
      names = "--gateways",
      defaultValue = "100",
      description =
          "Number of gateways in the settings; only one of them runs. Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(
      names = "--rate",
      paramLabel = "<rate>",
      defaultValue = "30",
      description = "Requests per second sent to the gateway that runs. Default: ${DEFAULT-VALUE}.")
  private int requestRate;

  @Option(
      names = "--sockets",
      paramLabel = "<sockets>",
      defaultValue = "1024",
      description = "Limit on the gateway's open file descriptors. Default: ${DEFAULT-VALUE}.")
  private int descriptorLimit;

  @Option(
      names = "--out",
      paramLabel = "<out>",
      description = "Folder for settings and logs. Default: a new temporary folder.")
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
