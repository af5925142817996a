package org.amberpath.cli;

import org.amberpath.lab.ExperimentReport;
import picocli.CommandLine.Option;

/** Base class of experiments that run gateways on loopback sockets for a set time. */
abstract class LabSocketExperiment extends LabExperiment {
  @Option(
      names = "--seconds",
      description =
          "Duration in seconds of the run, or of each measurement if the experiment takes several."
              + " Default: set by the experiment.")
  private Integer seconds;

  /** Returns the duration in seconds that applies without {@code --seconds}. */
  abstract int defaultSeconds();

  abstract ExperimentReport run(int seconds) throws Exception;

  @Override
  public final Integer call() throws Exception {
    silenceLogs();
    return printReport(run(seconds == null ? defaultSeconds() : seconds));
  }
}
