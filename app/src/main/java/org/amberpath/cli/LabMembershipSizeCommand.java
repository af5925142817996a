package org.amberpath.cli;

import java.util.List;
import org.amberpath.lab.membership.MembershipSizeExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab fleet-size}: see {@link MembershipSizeExperiment}. */
@Command(
    name = "fleet-size",
    mixinStandardHelpOptions = true,
    description =
        "Measures traffic and detection times of the membership protocol by fleet size, on a"
            + " virtual clock.")
final class LabMembershipSizeCommand extends LabExperiment {
  @Option(
      names = "--sizes",
      split = ",",
      defaultValue = "12,220,1000",
      description = "Numbers of gateways. Default: ${DEFAULT-VALUE}.")
  private List<Integer> sizes;

  @Option(
      names = "--periods",
      paramLabel = "<periods>",
      split = ",",
      defaultValue = "250,500,1000",
      description = "Intervals between probes, in milliseconds. Default: ${DEFAULT-VALUE}.")
  private List<Integer> periodsMillis;

  @Override
  public Integer call() {
    return printReport(MembershipSizeExperiment.run(seed(), sizes, periodsMillis, System.out));
  }
}
