package org.amberpath.cli;

import org.amberpath.lab.membership.MembershipModelExperiment;
import org.amberpath.lab.simulation.SeededRuns;
import picocli.CommandLine.Command;

/** {@code lab fleet-model}: see {@link MembershipModelExperiment}. */
@Command(
    name = "fleet-model",
    mixinStandardHelpOptions = true,
    description = "Checks the membership protocol on a virtual clock with random faults.")
final class LabMembershipModelCommand extends LabModelExperiment {
  @Override
  SeededRuns.Model model() {
    return MembershipModelExperiment.MODEL;
  }
}
