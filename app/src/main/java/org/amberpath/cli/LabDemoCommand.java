package org.amberpath.cli;

import org.amberpath.lab.Demo;
import org.amberpath.lab.ExperimentReport;
import picocli.CommandLine.Command;

/** {@code lab demo}: see {@link Demo}. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description =
        "Runs a gateway among stand-in caches, of which one crashes and one is drained, and"
            + " reports how requests ended.")
final class LabDemoCommand extends LabSocketExperiment {
  @Override
  int defaultSeconds() {
    return 9;
  }

  @Override
  ExperimentReport run(int seconds) throws Exception {
    return Demo.run(seed(), seconds, System.out);
  }
}
