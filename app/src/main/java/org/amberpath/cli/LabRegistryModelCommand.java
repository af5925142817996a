package org.amberpath.cli;

import org.amberpath.lab.registry.RegistryModelExperiment;
import org.amberpath.lab.simulation.SeededRuns;
import picocli.CommandLine.Command;

/** {@code lab registry-model}: see {@link RegistryModelExperiment}. */
@Command(
    name = "registry-model",
    mixinStandardHelpOptions = true,
    description = "The registry's pure half on a virtual clock, faults in any order.")
final class LabRegistryModelCommand extends LabModelExperiment {
  @Override
  SeededRuns.Model model() {
    return RegistryModelExperiment.MODEL;
  }
}
