package org.amberpath.cli;

import org.amberpath.lab.leadership.LeadershipModelExperiment;
import org.amberpath.lab.leadership.LeadershipVariant;
import org.amberpath.lab.simulation.SeededRuns;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab owner-model}: see {@link LeadershipModelExperiment}. */
@Command(
    name = "owner-model",
    mixinStandardHelpOptions = true,
    description = "Checks leader election on a virtual clock with random faults.")
final class LabLeadershipModelCommand extends LabModelExperiment {
  @Option(
      names = "--way",
      paramLabel = "<way>",
      defaultValue = "RIGHT",
      description =
          "How leaders are elected: ${COMPLETION-CANDIDATES}. All but the first are faulty"
              + " variants that the model has to detect. Default: ${DEFAULT-VALUE}.")
  private LeadershipVariant variant;

  @Override
  SeededRuns.Model model() {
    return LeadershipModelExperiment.model(variant);
  }
}
