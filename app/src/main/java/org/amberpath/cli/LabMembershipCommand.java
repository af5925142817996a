package org.amberpath.cli;

import java.nio.file.Path;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.membership.MembershipExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab fleet}: see {@link MembershipExperiment}. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description = "Runs several gateway processes in one fleet and injects faults.")
final class LabMembershipCommand extends LabSocketExperiment {
  @Option(
      names = "--gateways",
      defaultValue = "8",
      description = "Number of gateway processes, from 3 to 60. Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(names = "--alone", description = "Skip the comparison run with [fleet] off.")
  private boolean withoutBaseline;

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
    return MembershipExperiment.run(
        new MembershipExperiment.Plan(
            seed(),
            checkGatewayCount(gateways),
            seconds,
            !withoutBaseline,
            createFolder(outputFolder)),
        System.out);
  }
}
