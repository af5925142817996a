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
        "Several real gateways of which one at a time owns a task, with faults between them.")
final class LabLeadershipCommand extends LabSocketExperiment {
  @Option(
      names = "--gateways",
      defaultValue = "5",
      description = "3 to 60. Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(
      names = "--out",
      paramLabel = "<out>",
      description = "Where settings and logs go. Default: a new folder for a while.")
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
