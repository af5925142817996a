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
    description = "Who owns a task, by lease and by votes, on a virtual clock.")
final class LabLeadershipModelCommand extends LabModelExperiment {
  @Option(
      names = "--way",
      paramLabel = "<way>",
      defaultValue = "RIGHT",
      description =
          "${COMPLETION-CANDIDATES}. All but the first are "
              + "wrong, to see the model catch them. Default: ${DEFAULT-VALUE}.")
  private LeadershipVariant variant;

  @Override
  SeededRuns.Model model() {
    return LeadershipModelExperiment.model(variant);
  }
}
