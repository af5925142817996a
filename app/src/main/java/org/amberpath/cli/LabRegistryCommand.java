package org.amberpath.cli;

import java.util.Locale;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.registry.RegistryExperiment;
import org.amberpath.registry.runtime.RegistrySettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab registry}: see {@link RegistryExperiment}. */
@Command(
    name = "registry",
    mixinStandardHelpOptions = true,
    description = "Runs a gateway whose registry changes and fails at random.")
final class LabRegistryCommand extends LabSocketExperiment {
  @Option(
      names = "--form",
      paramLabel = "<form>",
      defaultValue = "etcd",
      description = "Protocol of the registry: etcd or consul. Default: ${DEFAULT-VALUE}.")
  private String protocol;

  @Override
  int defaultSeconds() {
    return 16;
  }

  @Override
  ExperimentReport run(int seconds) throws Exception {
    return RegistryExperiment.run(
        seed(), seconds, RegistrySettings.ProtocolKind.valueOf(protocol.toUpperCase(Locale.ROOT)));
  }
}
