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
    description = "Several real gateways that know one another, with faults between them.")
final class LabMembershipCommand extends LabSocketExperiment {
  @Option(
      names = "--gateways",
      defaultValue = "8",
      description = "3 to 60. Default: ${DEFAULT-VALUE}.")
  private int gateways;

  @Option(names = "--alone", description = "Without the same day with [fleet] off beside it.")
  private boolean withoutBaseline;

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
