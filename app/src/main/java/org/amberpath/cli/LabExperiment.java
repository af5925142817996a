package org.amberpath.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.lab.ExperimentReport;
import picocli.CommandLine.Option;

/** What all experiments take, and how they end: one JSON object as the last line. */
abstract class LabExperiment implements Callable<Integer> {
  /** Held here, since the runtime forgets a logger's level with the logger. */
  private static final Logger GATEWAY_LOGGER = Logger.getLogger("amberpath");

  private static final List<Logger> NOISY_LOGGERS =
      List.of(
          Logger.getLogger("org.amberpath.registry"),
          Logger.getLogger("org.amberpath.gateway.ProtocolErrorLog"),
          Logger.getLogger("io.vertx"),
          Logger.getLogger("io.netty"));

  private static final int MIN_GATEWAYS = 3;
  private static final int MAX_GATEWAYS = 60;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Gives all chance. Default: ${DEFAULT-VALUE}.")
  private long seed;

  final long seed() {
    return seed;
  }

  /** Prints the report, and gives the exit code. */
  static int finish(ExperimentReport report) {
    System.out.println(report.json());
    return report.holds() ? AmberpathCommand.DONE : AmberpathCommand.MISSED;
  }

  /** Checks the number of real gateways that an experiment starts. */
  static int checkedGateways(int gateways) {
    if (gateways < MIN_GATEWAYS || gateways > MAX_GATEWAYS) {
      throw new InvalidSettingsException(
          "command line",
          "",
          "--gateways",
          "--gateways: from " + MIN_GATEWAYS + " to " + MAX_GATEWAYS);
    }
    return gateways;
  }

  /** The folder for settings and logs; a new one for null. */
  static Path folder(Path out) throws IOException {
    return out == null ? Files.createTempDirectory("amberpath-lab") : Files.createDirectories(out);
  }

  /** Guards an experiment's own lines against those of a gateway in the same process. */
  static void silenceLogs() {
    GATEWAY_LOGGER.setLevel(Level.WARNING);
    NOISY_LOGGERS.forEach(logger -> logger.setLevel(Level.OFF));
  }
}
