package org.amberpath.cli;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.lab.Demo;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.OverloadExperiment;
import org.amberpath.lab.SeededRuns;
import org.amberpath.lab.endpoints.EndpointsSizeExperiment;
import org.amberpath.lab.leadership.LeadershipExperiment;
import org.amberpath.lab.leadership.LeadershipModelExperiment;
import org.amberpath.lab.leadership.LeadershipValueExperiment;
import org.amberpath.lab.membership.MembershipExperiment;
import org.amberpath.lab.membership.MembershipModelExperiment;
import org.amberpath.lab.membership.MembershipSizeExperiment;
import org.amberpath.lab.planning.PlannersModelExperiment;
import org.amberpath.lab.recovery.PowerLossSizeExperiment;
import org.amberpath.lab.registry.RegistryExperiment;
import org.amberpath.lab.registry.RegistryModelExperiment;
import org.amberpath.lab.registry.RegistrySizeExperiment;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.registry.runtime.RegistrySettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Experiments on loopback or on a virtual clock. The last line of each is one JSON object. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description = "Tries a gateway among stand-ins.",
    synopsisSubcommandLabel = "EXPERIMENT",
    subcommands = {
      LabCommand.DemoCommand.class,
      LabCommand.FloodCommand.class,
      LabCommand.RegistryDayCommand.class,
      LabCommand.RegistryModelCommand.class,
      LabCommand.FleetModelCommand.class,
      LabCommand.FleetDayCommand.class,
      LabCommand.FleetSizeCommand.class,
      LabCommand.OwnerModelCommand.class,
      LabCommand.OwnerDayCommand.class,
      LabCommand.OwnerWorthCommand.class,
      LabCommand.PowerLossCommand.class,
      LabCommand.PlannersModelCommand.class,
      LabCommand.Size.class,
      LabCommand.EndpointsSizeCommand.class,
      LabCommand.StandIn.class
    })
final class LabCommand {
  /** Held here, since the runtime forgets a logger's level with the logger. */
  private static final List<Logger> HUSHED =
      List.of(
          Logger.getLogger("amberpath"),
          Logger.getLogger("org.amberpath.registry"),
          Logger.getLogger("org.amberpath.gateway.ProtocolErrorLog"),
          Logger.getLogger("io.vertx"),
          Logger.getLogger("io.netty"));

  private static final int DEMO_S = 9, FLOOD_S = 4, REGISTRY_S = 16, FLEET_S = 20;
  private static final int LEAST_GATEWAYS = 3, MOST_GATEWAYS = 60;

  /** What all experiments take. */
  static class Common {
    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "Gives all chance. Default: ${DEFAULT-VALUE}.")
    long seed;
  }

  private static int done(ExperimentReport result) {
    System.out.println(result.json());
    return result.holds() ? AmberpathCommand.DONE : AmberpathCommand.MISSED;
  }

  private static int gatewaysIn(int many) {
    if (many < LEAST_GATEWAYS || many > MOST_GATEWAYS) {
      throw new InvalidSettingsException(
          "command line",
          "",
          "--gateways",
          "--gateways: from " + LEAST_GATEWAYS + " to " + MOST_GATEWAYS);
    }
    return many;
  }

  private static Path folder(Path out) throws IOException {
    return out == null ? Files.createTempDirectory("amberpath-lab") : Files.createDirectories(out);
  }

  /** Guards an experiment's own lines against those of a gateway in the same process. */
  private static void quietly() {
    HUSHED.get(0).setLevel(Level.WARNING);
    HUSHED.subList(1, HUSHED.size()).forEach(one -> one.setLevel(Level.OFF));
  }

  @Command(name = "list", description = "The experiments, a line each.")
  int list() {
    System.out.println(
        """
        demo            a gateway among stand-ins: a cache dies, one is drained; what came of each GET
        flood           three times the GETs that a gateway bears; what it answers, and how late its loop is
        registry        a gateway on sockets while its registry changes, compacts, lags and breaks off
        registry-model  the registry's pure half on a virtual clock, faults in any order
        fleet           real gateways that know one another: kills, standstills, partitions, lossy links
        fleet-model     gateways' views of their fleet on a virtual clock: joins, crashes, partitions
        fleet-size      what a fleet's view costs and how soon it knows, at several sizes, on the virtual clock
        owner           real gateways of which one at a time sweeps a registry: kills, standstills, cuts
        owner-model     who owns a task, by lease and by votes, on a virtual clock; wrong ways too
        planners-model  terms, grants and shares of planners and forwarders on a virtual clock
        registry-size   many caches, changes and watching clients on the virtual clock; a herd after an outage
        endpoints-size  what a real gateway needs at the usual number of caches and at 16 times as many
        standin         a stand-in to try things against: registry""");
    return AmberpathCommand.DONE;
  }

  /** So many seconds on sockets. */
  abstract static class SocketsCommand extends Common implements Callable<Integer> {
    @Option(
        names = "--seconds",
        description = "How long, for each stretch. Default: the experiment's own.")
    private Integer seconds;

    abstract ExperimentReport run(Integer seconds) throws Exception;

    @Override
    public Integer call() throws Exception {
      quietly();
      return done(run(seconds));
    }
  }

  @Command(name = "demo", mixinStandardHelpOptions = true, description = "The main job, seen.")
  static final class DemoCommand extends SocketsCommand {
    @Override
    ExperimentReport run(Integer seconds) throws Exception {
      return Demo.run(seed, seconds == null ? DEMO_S : seconds, System.out);
    }
  }

  @Command(
      name = "flood",
      mixinStandardHelpOptions = true,
      description = "More GETs than a gateway can bear.")
  static final class FloodCommand extends SocketsCommand {
    @Override
    ExperimentReport run(Integer seconds) throws Exception {
      return OverloadExperiment.run(seed, seconds == null ? FLOOD_S : seconds, System.out);
    }
  }

  @Command(
      name = "registry",
      mixinStandardHelpOptions = true,
      description = "A gateway on sockets while its registry changes and breaks off at random.")
  static final class RegistryDayCommand extends SocketsCommand {
    @Option(
        names = "--form",
        defaultValue = "etcd",
        description = "etcd or consul. Default: ${DEFAULT-VALUE}.")
    private String form;

    @Override
    ExperimentReport run(Integer seconds) throws Exception {
      return RegistryExperiment.run(
          seed,
          seconds == null ? REGISTRY_S : seconds,
          RegistrySettings.ProtocolKind.valueOf(form.toUpperCase(Locale.ROOT)));
    }
  }

  /** A model on a virtual clock, each run from a seed of its own; one run tells its story. */
  abstract static class ModelCommand extends Common implements Callable<Integer> {
    @Option(
        names = "--runs",
        defaultValue = "10000",
        description = "How many; 1 tells its story. Default: " + "${DEFAULT-VALUE}.")
    private int runs;

    abstract SeededRuns.Model model();

    @Override
    public Integer call() {
      ExperimentReport result = new ExperimentReport(seed);
      if (runs == 1) {
        SeededRuns.Result one = SeededRuns.one(model(), seed, System.out::println);
        return done(
            result
                .figure("missed", String.valueOf(one.missed()))
                .bar("all bars", one.missed() == null));
      }
      long since = System.nanoTime();
      Map<String, Object> sums = SeededRuns.many(model(), seed, runs);
      sums.forEach(result::figure);
      return done(
          result
              .figure("took_ms", (System.nanoTime() - since) / 1_000_000)
              .bar("all bars in all runs", sums.get("failed").equals(0L)));
    }
  }

  @Command(
      name = "registry-model",
      mixinStandardHelpOptions = true,
      description = "The registry's pure half on a virtual clock, faults in any order.")
  static final class RegistryModelCommand extends ModelCommand {
    @Override
    SeededRuns.Model model() {
      return RegistryModelExperiment.MODEL;
    }
  }

  @Command(
      name = "fleet-model",
      mixinStandardHelpOptions = true,
      description = "The pure half of the fleet's view on a virtual clock, faults in any order.")
  static final class FleetModelCommand extends ModelCommand {
    @Override
    SeededRuns.Model model() {
      return MembershipModelExperiment.MODEL;
    }
  }

  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description = "Several real gateways that know one another, with faults between them.")
  static final class FleetDayCommand extends SocketsCommand {
    @Option(
        names = "--gateways",
        defaultValue = "8",
        description = "3 to 60. Default: ${DEFAULT-VALUE}.")
    private int gateways;

    @Option(names = "--alone", description = "Without the same day with [fleet] off beside it.")
    private boolean alone;

    @Option(
        names = "--out",
        description = "Where settings and logs go. Default: a new folder for a while.")
    private Path out;

    @Override
    ExperimentReport run(Integer seconds) throws Exception {
      return MembershipExperiment.run(
          new MembershipExperiment.Plan(
              seed, gatewaysIn(gateways), seconds == null ? FLEET_S : seconds, !alone, folder(out)),
          System.out);
    }
  }

  @Command(
      name = "fleet-size",
      mixinStandardHelpOptions = true,
      description = "What a fleet's view costs and how soon it knows, by size.")
  static final class FleetSizeCommand extends Common implements Callable<Integer> {
    @Option(
        names = "--sizes",
        split = ",",
        defaultValue = "12,220,1000",
        description = "Default: ${DEFAULT-VALUE}.")
    private List<Integer> sizes;

    @Option(
        names = "--periods",
        split = ",",
        defaultValue = "250,500,1000",
        description = "Between probes, in ms. Default: ${DEFAULT-VALUE}.")
    private List<Integer> periods;

    @Override
    public Integer call() {
      return done(MembershipSizeExperiment.run(seed, sizes, periods, System.out));
    }
  }

  @Command(
      name = "owner",
      mixinStandardHelpOptions = true,
      description =
          "Several real gateways of which one at a time owns a task, with faults between them.")
  static final class OwnerDayCommand extends SocketsCommand {
    @Option(
        names = "--gateways",
        defaultValue = "5",
        description = "3 to 60. Default: ${DEFAULT-VALUE}.")
    private int gateways;

    @Option(
        names = "--out",
        description = "Where settings and logs go. Default: a new folder for a while.")
    private Path out;

    @Override
    ExperimentReport run(Integer seconds) throws Exception {
      return LeadershipExperiment.run(
          new LeadershipExperiment.Plan(
              seed, gatewaysIn(gateways), seconds == null ? FLEET_S : seconds, folder(out)),
          System.out);
    }
  }

  @Command(
      name = "owner-worth",
      mixinStandardHelpOptions = true,
      description =
          "What it is worth that one gateway tries and fills for all, on a virtual clock.")
  static final class OwnerWorthCommand extends Common implements Callable<Integer> {
    @Option(names = "--gateways", defaultValue = "12", description = "Default: ${DEFAULT-VALUE}.")
    private int gateways;

    @Option(
        names = "--caches",
        defaultValue = "10",
        description = "Edge caches. Default: ${DEFAULT-VALUE}.")
    private int caches;

    @Option(
        names = "--pairs",
        defaultValue = "5",
        description = "Seeds, each with and without. Default: ${DEFAULT-VALUE}.")
    private int pairs;

    @Override
    public Integer call() {
      return done(LeadershipValueExperiment.run(seed, gateways, caches, pairs, System.out));
    }
  }

  @Command(
      name = "owner-model",
      mixinStandardHelpOptions = true,
      description = "Who owns a task, by lease and by votes, on a virtual clock.")
  static final class OwnerModelCommand extends ModelCommand {
    @Option(
        names = "--way",
        defaultValue = "RIGHT",
        description =
            "${COMPLETION-CANDIDATES}. All but the first are "
                + "wrong, to see the model catch them. Default: ${DEFAULT-VALUE}.")
    private LeadershipModelExperiment.Way way;

    @Override
    SeededRuns.Model model() {
      return LeadershipModelExperiment.model(way);
    }
  }

  @Command(
      name = "powerloss-size",
      mixinStandardHelpOptions = true,
      description = "A power loss of all, with three ways of opening, on a virtual clock.")
  static final class PowerLossCommand extends Common implements Callable<Integer> {
    @Option(names = "--gateways", defaultValue = "45", description = "Default: ${DEFAULT-VALUE}.")
    private int gateways;

    @Option(
        names = "--caches",
        defaultValue = "20",
        description = "Edge caches. Default: ${DEFAULT-VALUE}.")
    private int caches;

    @Option(
        names = "--pairs",
        defaultValue = "5",
        description = "Seeds, each in all ways. Default: ${DEFAULT-VALUE}.")
    private int pairs;

    @Option(
        names = "--origin",
        defaultValue = "0.2",
        description = "The part of all GETs that the origin bears. Default: ${DEFAULT-VALUE}.")
    private double origin;

    @Override
    public Integer call() {
      return done(PowerLossSizeExperiment.run(seed, gateways, caches, pairs, origin, System.out));
    }
  }

  @Command(
      name = "planners-model",
      mixinStandardHelpOptions = true,
      description = "Terms, grants and shares of planners and forwarders on a virtual clock.")
  static final class PlannersModelCommand extends ModelCommand {
    @Override
    SeededRuns.Model model() {
      return PlannersModelExperiment.MODEL;
    }
  }

  @Command(
      name = "registry-size",
      mixinStandardHelpOptions = true,
      description = "Many caches, changes and watching clients, then all of them after an outage.")
  static final class Size extends Common implements Callable<Integer> {
    @Option(names = "--caches", defaultValue = "5000", description = "Default: ${DEFAULT-VALUE}.")
    private int caches;

    @Option(names = "--clients", defaultValue = "1000", description = "Default: ${DEFAULT-VALUE}.")
    private int clients;

    @Option(
        names = "--changes",
        defaultValue = "200",
        description = "A second. Default: ${DEFAULT-VALUE}.")
    private int changes;

    @Override
    public Integer call() {
      return done(RegistrySizeExperiment.run(seed, caches, clients, changes));
    }
  }

  @Command(
      name = "endpoints-size",
      mixinStandardHelpOptions = true,
      description =
          "What one real gateway needs at the usual number of caches and at many times as many.")
  static final class EndpointsSizeCommand extends SocketsCommand {
    private static final int DEFAULT_SECONDS = 30;

    @Option(
        names = "--caches",
        defaultValue = "200",
        description = "The usual number, parents among them. Default: ${DEFAULT-VALUE}.")
    private int caches;

    @Option(
        names = "--times",
        defaultValue = "16",
        description = "How many times as many. Default: ${DEFAULT-VALUE}.")
    private int times;

    @Option(
        names = "--gateways",
        defaultValue = "100",
        description = "That the settings tell of; one runs. Default: ${DEFAULT-VALUE}.")
    private int gateways;

    @Option(
        names = "--rate",
        defaultValue = "30",
        description = "Requests a second to that one. Default: ${DEFAULT-VALUE}.")
    private int rate;

    @Option(
        names = "--sockets",
        defaultValue = "1024",
        description = "Its limit of descriptors. Default: ${DEFAULT-VALUE}.")
    private int sockets;

    @Option(
        names = "--out",
        description = "Where settings and logs go. Default: a new folder for a while.")
    private Path out;

    @Override
    ExperimentReport run(Integer seconds) throws Exception {
      return EndpointsSizeExperiment.run(
          new EndpointsSizeExperiment.Plan(
              seed,
              caches,
              times,
              gateways,
              rate,
              sockets,
              seconds == null ? DEFAULT_SECONDS : seconds,
              folder(out)),
          System.out);
    }
  }

  @Command(
      name = "standin",
      mixinStandardHelpOptions = true,
      description = "Runs a stand-in registry until it is stopped; both forms, on the ports given.")
  static final class StandIn implements Callable<Integer> {
    @Parameters(paramLabel = "WHAT", description = "registry")
    private String what;

    @Option(
        names = "--ports",
        split = ",",
        defaultValue = "2379,2380,2381",
        description = "One endpoint each. Default: ${DEFAULT-VALUE}.")
    private int[] ports;

    @Override
    public Integer call() throws Exception {
      if (!what.equals("registry")) {
        System.err.println("lab standin: registry");
        return AmberpathCommand.USAGE;
      }
      Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
      StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
      for (int port : ports) {
        int up = registry.open(port).toCompletionStage().toCompletableFuture().get().port();
        System.out.println("stand-in registry at 127.0.0.1:" + up);
      }
      Thread.currentThread().join();
      return AmberpathCommand.DONE;
    }
  }
}
