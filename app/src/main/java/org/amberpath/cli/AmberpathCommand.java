package org.amberpath.cli;

import co.elastic.logging.jul.EcsFormatter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.logging.Handler;
import java.util.logging.Logger;
import org.amberpath.gateway.EndpointSource;
import org.amberpath.gateway.FleetCoordinator;
import org.amberpath.gateway.GatewayExtensions;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.gateway.Server;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.gateway.simulation.SimulationHost;
import org.amberpath.leadership.runtime.LeadershipService;
import org.amberpath.leadership.runtime.LeadershipSettings;
import org.amberpath.membership.runtime.FleetMessageHandler;
import org.amberpath.membership.runtime.MembershipService;
import org.amberpath.membership.runtime.MembershipSettings;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ScopeType;

/** The command line. Results go to standard output, the log to standard error. */
@Command(
    name = "amberpath",
    mixinStandardHelpOptions = true,
    version = "amberpath 0.1.0",
    description = "Routes GETs of cached objects.",
    synopsisSubcommandLabel = "COMMAND",
    footer = "Exit codes: 0 done, 1 failed, 2 usage or settings, 3 an experiment's bar missed.",
    subcommands = {
      AmberpathCommand.Serve.class,
      AmberpathCommand.Wire.class,
      AmberpathCommand.Check.class,
      RegistryCommand.class,
      MembershipCommand.class,
      LeadershipCommand.class,
      LabCommand.class
    })
public final class AmberpathCommand {
  /** Exit codes, the same for all commands. */
  static final int DONE = 0, FAILED = 1, USAGE = 2, MISSED = 3;

  /** How log lines look. */
  enum Log {
    plain,
    json
  }

  @Option(
      names = "--log",
      scope = ScopeType.INHERIT,
      defaultValue = "plain",
      description = "Log lines: ${COMPLETION-CANDIDATES}.")
  void log(Log form) {
    if (form == Log.json) {
      EcsFormatter formatter = new EcsFormatter();
      formatter.setServiceName("amberpath");
      for (Handler handler : Logger.getLogger("").getHandlers()) {
        handler.setFormatter(formatter);
      }
    }
  }

  private AmberpathCommand() {}

  /** Runs a command; a gateway that started goes on after this returns. */
  public static void run(String... args) {
    int code = line().execute(args);
    if (code != Serve.GOES_ON) {
      System.exit(code);
    }
  }

  static CommandLine line() {
    CommandLine line = new CommandLine(new AmberpathCommand());
    line.setExecutionExceptionHandler(
        (e, of, parsed) -> {
          of.getErr().println(e.getMessage() == null ? e.toString() : e.getMessage());
          return e instanceof DeploymentFile.Faulty
                  || e instanceof InvalidSettingsException
                  || e instanceof InvalidDocumentException
              ? USAGE
              : FAILED;
        });
    return line;
  }

  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description = "Runs a gateway on sockets.")
  static final class Serve implements Callable<Integer> {
    static final int GOES_ON = -1;

    @Option(
        names = "--file",
        defaultValue = "${AMBERPATH_FILE}",
        paramLabel = "INI",
        description = "Settings beside the platform's JSON; AMBERPATH_FILE otherwise.")
    private Path file;

    @Override
    public Integer call() {
      if (file == null || file.toString().isEmpty()) {
        Server.run(System.getenv(), System.err);
        return GOES_ON;
      }
      DeploymentFile settings = DeploymentFile.read(file);
      RegistrySettings registry = settings.registry();
      EndpointSource.Factory source =
          registry == null
              ? null
              : (vertx, to, seed) -> new RegistrySource(vertx, registry, to, seed);
      MembershipSettings fleet = settings.fleet();
      FleetCoordinator.Factory company =
          fleet == null
              ? null
              : (vertx, options, to) ->
                  new MembershipService(vertx, fleet, options, to, guest(settings.owner()));
      Server.run(
          System.getenv(),
          System.err,
          new GatewayExtensions(source, company),
          registry == null || settings.journalBeside()
              ? Server.JournalMode.POLLED
              : Server.JournalMode.UNUSED);
      return GOES_ON;
    }

    private static FleetMessageHandler.Factory guest(LeadershipSettings owner) {
      return owner == null
          ? null
          : (vertx, company) -> new LeadershipService(vertx, owner, company);
    }
  }

  @Command(
      name = "wirehost",
      mixinStandardHelpOptions = true,
      description = "Runs many gateways' decisions on the bench's wire.")
  static final class Wire implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
      return new SimulationHost(System.in, System.out, System.err).run();
    }
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Reads settings and says what is wrong.")
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "An INI file, or the platform's JSON.")
    private Path file;

    @Override
    public Integer call() {
      if (file.toString().endsWith(".json")) {
        GatewayOptions.read(Map.of("PROXY_CONFIG", file.toString(), "PROXY_LISTEN", "127.0.0.1:0"));
      } else {
        DeploymentFile.read(file);
      }
      System.out.println(file + ": good");
      return DONE;
    }
  }
}
