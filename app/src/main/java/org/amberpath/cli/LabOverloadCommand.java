package org.amberpath.cli;

import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.OverloadExperiment;
import picocli.CommandLine.Command;

/** {@code lab flood}: see {@link OverloadExperiment}. */
@Command(
    name = "flood",
    mixinStandardHelpOptions = true,
    description = "Sends a gateway three times the request rate that it sustains.")
final class LabOverloadCommand extends LabSocketExperiment {
  @Override
  int defaultSeconds() {
    return 4;
  }

  @Override
  ExperimentReport run(int seconds) throws Exception {
    return OverloadExperiment.run(seed(), seconds, System.out);
  }
}
