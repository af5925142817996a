package org.amberpath.cli;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.amberpath.cli.settings.DeploymentFile;
import org.amberpath.gateway.EndpointSource;
import org.amberpath.gateway.FleetCoordinator;
import org.amberpath.gateway.GatewayExtensions;
import org.amberpath.gateway.Server;
import org.amberpath.leadership.runtime.LeadershipService;
import org.amberpath.leadership.runtime.LeadershipSettings;
import org.amberpath.membership.runtime.FleetMessageHandler;
import org.amberpath.membership.runtime.MembershipService;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Starts a gateway on sockets. Each section of the deployment file enables one extension: a
 * registry as endpoint source, membership, or leadership. Without a file, none is enabled.
 */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = "Runs a gateway that serves clients on sockets.")
final class ServeCommand implements Callable<Integer> {
  /** Returned instead of an exit code: the gateway's threads keep the process running. */
  static final int KEEPS_RUNNING = -1;

  @Option(
      names = "--file",
      defaultValue = "${AMBERPATH_FILE}",
      paramLabel = "INI",
      description =
          "Deployment file, in addition to the platform's JSON settings. Default: the value of"
              + " AMBERPATH_FILE.")
  private Path file;

  @Override
  public Integer call() {
    if (file == null || file.toString().isEmpty()) {
      Server.run(System.getenv(), System.err);
      return KEEPS_RUNNING;
    }
    DeploymentFile settings = DeploymentFile.read(file);
    Server.run(
        System.getenv(),
        System.err,
        new GatewayExtensions(
            settings.registry().map(ServeCommand::endpointSource).orElse(null),
            fleetCoordinator(settings).orElse(null)),
        settings.registry().isEmpty() || settings.alsoPollsJournal()
            ? Server.JournalMode.POLLED
            : Server.JournalMode.UNUSED);
    return KEEPS_RUNNING;
  }

  private static EndpointSource.Factory endpointSource(RegistrySettings registry) {
    return (vertx, listener, seed) -> new RegistrySource(vertx, registry, listener, seed);
  }

  private static Optional<FleetCoordinator.Factory> fleetCoordinator(DeploymentFile settings) {
    FleetMessageHandler.Factory messageHandler =
        settings.leadership().map(ServeCommand::messageHandler).orElse(null);
    return settings
        .membership()
        .map(
            membership ->
                (vertx, options, callbacks) ->
                    new MembershipService(vertx, membership, options, callbacks, messageHandler));
  }

  private static FleetMessageHandler.Factory messageHandler(LeadershipSettings leadership) {
    return (vertx, membership) -> new LeadershipService(vertx, leadership, membership);
  }
}
