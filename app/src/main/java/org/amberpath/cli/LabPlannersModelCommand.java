package org.amberpath.cli;

import org.amberpath.lab.planning.PlannersModelExperiment;
import org.amberpath.lab.simulation.SeededRuns;
import picocli.CommandLine.Command;

/** {@code lab planners-model}: see {@link PlannersModelExperiment}. */
@Command(
    name = "planners-model",
    mixinStandardHelpOptions = true,
    description =
        "Checks terms, grants and shares of planners and forwarders on a virtual clock with random"
            + " faults.")
final class LabPlannersModelCommand extends LabModelExperiment {
  @Override
  SeededRuns.Model model() {
    return PlannersModelExperiment.MODEL;
  }
}
