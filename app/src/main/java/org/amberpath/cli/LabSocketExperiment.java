package org.amberpath.cli;

import org.amberpath.lab.ExperimentReport;
import picocli.CommandLine.Option;

/** An experiment on sockets, for so many seconds. */
abstract class LabSocketExperiment extends LabExperiment {
  @Option(
      names = "--seconds",
      description = "How long, for each stretch. Default: the experiment's own.")
  private Integer seconds;

  /** How long it runs where nothing is said. */
  abstract int defaultSeconds();

  abstract ExperimentReport run(int seconds) throws Exception;

  @Override
  public final Integer call() throws Exception {
    silenceLogs();
    return finish(run(seconds == null ? defaultSeconds() : seconds));
  }
}
