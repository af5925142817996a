package org.amberpath.cli;

import org.amberpath.lab.registry.RegistryModelExperiment;
import org.amberpath.lab.simulation.SeededRuns;
import picocli.CommandLine.Command;

/** {@code lab registry-model}: see {@link RegistryModelExperiment}. */
@Command(
    name = "registry-model",
    mixinStandardHelpOptions = true,
    description = "Checks the registry client's logic on a virtual clock with random faults.")
final class LabRegistryModelCommand extends LabModelExperiment {
  @Override
  SeededRuns.Model model() {
    return RegistryModelExperiment.MODEL;
  }
}
