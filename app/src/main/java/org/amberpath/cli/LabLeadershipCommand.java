package org.amberpath.cli;

import java.nio.file.Path;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.leadership.LeadershipExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab owner}: see {@link LeadershipExperiment}. */
@Command(
    name = "owner",
    mixinStandardHelpOptions = true,
    description =
        "Runs several gateway processes, one of which at a time leads a task, and injects faults.")
final class LabLeadershipCommand extends LabSocketExperiment {
  @Option(
      names = "--gateways",
      defaultValue = "5",
      description = "Number of gateway processes, from 3 to 60. Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(
      names = "--out",
      paramLabel = "<out>",
      description = "Folder for settings and logs. Default: a new temporary folder.")
  private Path outputFolder;

  @Override
  int defaultSeconds() {
    return 20;
  }

  @Override
  ExperimentReport run(int seconds) throws Exception {
    return LeadershipExperiment.run(
        new LeadershipExperiment.Plan(
            seed(), checkGatewayCount(gateways), seconds, createFolder(outputFolder)),
        System.out);
  }
}
