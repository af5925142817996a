package org.amberpath.cli;

import java.util.List;
import picocli.CommandLine.Command;

/**
 * Groups the experiments, which run on loopback sockets or on a virtual clock. Each prints its
 * report, one JSON object, as the last line.
 */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description = "Tries a gateway among stand-ins.",
    synopsisSubcommandLabel = "EXPERIMENT",
    subcommands = {
      LabDemoCommand.class,
      LabOverloadCommand.class,
      LabRegistryCommand.class,
      LabRegistryModelCommand.class,
      LabMembershipModelCommand.class,
      LabMembershipCommand.class,
      LabMembershipSizeCommand.class,
      LabLeadershipModelCommand.class,
      LabLeadershipCommand.class,
      LabLeadershipValueCommand.class,
      LabPowerLossCommand.class,
      LabPlannersModelCommand.class,
      LabRegistrySizeCommand.class,
      LabEndpointsSizeCommand.class,
      LabStandInCommand.class
    })
final class LabCommand {
  /** One line that {@code lab list} prints. */
  private record Experiment(String name, String description) {}

  private static final List<Experiment> EXPERIMENTS =
      List.of(
          new Experiment(
              "demo",
              "a gateway among stand-ins: a cache dies, one is drained; what came of each GET"),
          new Experiment(
              "flood",
              "three times the GETs that a gateway bears; what it answers, and how late its loop"
                  + " is"),
          new Experiment(
              "registry",
              "a gateway on sockets while its registry changes, compacts, lags and breaks off"),
          new Experiment(
              "registry-model", "the registry's pure half on a virtual clock, faults in any order"),
          new Experiment(
              "fleet",
              "real gateways that know one another: kills, standstills, partitions, lossy links"),
          new Experiment(
              "fleet-model",
              "gateways' views of their fleet on a virtual clock: joins, crashes, partitions"),
          new Experiment(
              "fleet-size",
              "what a fleet's view costs and how soon it knows, at several sizes, on the virtual"
                  + " clock"),
          new Experiment(
              "owner",
              "real gateways of which one at a time sweeps a registry: kills, standstills, cuts"),
          new Experiment(
              "owner-model",
              "who owns a task, by lease and by votes, on a virtual clock; wrong ways too"),
          new Experiment(
              "planners-model",
              "terms, grants and shares of planners and forwarders on a virtual clock"),
          new Experiment(
              "registry-size",
              "many caches, changes and watching clients on the virtual clock; a herd after an"
                  + " outage"),
          new Experiment(
              "endpoints-size",
              "what a real gateway needs at the usual number of caches and at 16 times as many"),
          new Experiment("standin", "a stand-in to try things against: registry"));

  @Command(name = "list", description = "The experiments, a line each.")
  int list() {
    for (Experiment experiment : EXPERIMENTS) {
      System.out.printf("%-16s%s%n", experiment.name, experiment.description);
    }
    return AmberpathCommand.SUCCESS;
  }
}
