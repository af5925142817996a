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

/**
 * Base class of the experiments: holds the option that all of them accept and prints the report,
 * one JSON object, as the last line.
 */
abstract class LabExperiment implements Callable<Integer> {
  /**
   * A strong reference to the logger: the log manager refers to loggers weakly, and a logger that
   * is garbage-collected loses its level.
   */
  private static final Logger GATEWAY_LOGGER = Logger.getLogger("amberpath");

  private static final List<Logger> NOISY_LOGGERS =
      List.of(
          Logger.getLogger("org.amberpath.registry"),
          Logger.getLogger("org.amberpath.gateway.pipeline.ProtocolErrorLog"),
          Logger.getLogger("io.vertx"),
          Logger.getLogger("io.netty"));

  private static final int MIN_GATEWAYS = 3;
  private static final int MAX_GATEWAYS = 60;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of all random choices. Default: ${DEFAULT-VALUE}.")
  private long seed;

  final long seed() {
    return seed;
  }

  /** Prints the report and returns the exit code, which says whether all of its bars hold. */
  static int printReport(ExperimentReport report) {
    System.out.println(report.json());
    return report.holds() ? AmberpathCommand.SUCCESS : AmberpathCommand.BARS_MISSED;
  }

  /**
   * Returns the number of gateway processes that an experiment starts; throws if it is not from
   * {@value #MIN_GATEWAYS} to {@value #MAX_GATEWAYS}.
   */
  static int checkGatewayCount(int gatewayCount) {
    if (gatewayCount < MIN_GATEWAYS || gatewayCount > MAX_GATEWAYS) {
      throw new InvalidSettingsException(
          "command line",
          "",
          "--gateways",
          "--gateways: not from " + MIN_GATEWAYS + " to " + MAX_GATEWAYS + ": " + gatewayCount);
    }
    return gatewayCount;
  }

  /** Creates the folder for settings and logs; if it is null, creates a temporary folder. */
  static Path createFolder(Path folder) throws IOException {
    return folder == null
        ? Files.createTempDirectory("amberpath-lab")
        : Files.createDirectories(folder);
  }

  /**
   * Keeps the log lines of a gateway in the same process out of the experiment's output: the
   * gateway logs only warnings and errors, the noisy loggers nothing.
   */
  static void silenceLogs() {
    GATEWAY_LOGGER.setLevel(Level.WARNING);
    NOISY_LOGGERS.forEach(logger -> logger.setLevel(Level.OFF));
  }
}
