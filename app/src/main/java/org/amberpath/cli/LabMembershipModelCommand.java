package org.amberpath.cli;

import org.amberpath.lab.membership.MembershipModelExperiment;
import org.amberpath.lab.simulation.SeededRuns;
import picocli.CommandLine.Command;

/** {@code lab fleet-model}: see {@link MembershipModelExperiment}. */
@Command(
    name = "fleet-model",
    mixinStandardHelpOptions = true,
    description = "The pure half of the fleet's view on a virtual clock, faults in any order.")
final class LabMembershipModelCommand extends LabModelExperiment {
  @Override
  SeededRuns.Model model() {
    return MembershipModelExperiment.MODEL;
  }
}
