package org.amberpath.cli;

import co.elastic.logging.jul.EcsFormatter;
import java.util.logging.Handler;
import java.util.logging.Logger;
import org.amberpath.cli.settings.InvalidDeploymentFileException;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.InvalidSettingsException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/**
 * Root command: parses the command line with picocli and runs the subcommand. Results go to
 * standard output, the log to standard error.
 */
@Command(
    name = "amberpath",
    mixinStandardHelpOptions = true,
    version = "amberpath 0.1.0",
    description = "Runs and operates a gateway that routes GET requests to caches.",
    synopsisSubcommandLabel = "COMMAND",
    footer =
        "Exit codes: 0 success, 1 failure, 2 invalid usage or settings, 3 an experiment missed a"
            + " bar.",
    subcommands = {
      ServeCommand.class,
      SimulateCommand.class,
      CheckCommand.class,
      RegistryCommand.class,
      MembershipCommand.class,
      LeadershipCommand.class,
      LabCommand.class
    })
public final class AmberpathCommand {
  /** Exit code of a command that succeeded. */
  static final int SUCCESS = 0;

  /** Exit code of a command that failed for any other reason than those below. */
  static final int FAILURE = 1;

  /** Exit code for invalid usage or invalid settings. */
  static final int USAGE_ERROR = 2;

  /** Exit code of an experiment that missed one of its pass criteria (bars). */
  static final int BARS_MISSED = 3;

  /** Formats of log lines; the constants are the values of {@code --log}. */
  enum LogFormat {
    plain,
    json
  }

  @Option(
      names = "--log",
      paramLabel = "<log>",
      scope = ScopeType.INHERIT,
      defaultValue = "plain",
      description = "Format of log lines: ${COMPLETION-CANDIDATES}. Default: ${DEFAULT-VALUE}.")
  void setLogFormat(LogFormat format) {
    if (format == LogFormat.json) {
      EcsFormatter formatter = new EcsFormatter();
      formatter.setServiceName("amberpath");
      for (Handler handler : Logger.getLogger("").getHandlers()) {
        handler.setFormatter(formatter);
      }
    }
  }

  private AmberpathCommand() {}

  /**
   * Runs a command and exits the process with the command's exit code. Returns only if a gateway
   * was started, which keeps running on its own threads.
   */
  public static void run(String... args) {
    int exitCode = commandLine().execute(args);
    if (exitCode != ServeCommand.KEEPS_RUNNING) {
      System.exit(exitCode);
    }
  }

  static CommandLine commandLine() {
    CommandLine commandLine = new CommandLine(new AmberpathCommand());
    commandLine.setExecutionExceptionHandler(
        (e, command, parseResult) -> {
          command.getErr().println(e.getMessage() == null ? e.toString() : e.getMessage());
          return e instanceof InvalidDeploymentFileException
                  || e instanceof InvalidSettingsException
                  || e instanceof InvalidDocumentException
              ? USAGE_ERROR
              : FAILURE;
        });
    return commandLine;
  }
}
