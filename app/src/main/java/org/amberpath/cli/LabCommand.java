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
    description = "Runs experiments with gateways among stand-ins or on a virtual clock.",
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
              "a gateway among stand-in caches, of which one crashes and one is drained; counts how"
                  + " requests ended"),
          new Experiment(
              "flood",
              "three times the request rate that a gateway sustains; measures responses and"
                  + " event-loop lag"),
          new Experiment(
              "registry", "a gateway whose registry changes, compacts, lags and disconnects"),
          new Experiment(
              "registry-model",
              "the registry client's logic on a virtual clock, with random faults"),
          new Experiment(
              "fleet",
              "gateway processes in one fleet, with kills, pauses, partitions and lossy links"),
          new Experiment(
              "fleet-model",
              "the membership protocol on a virtual clock, with joins, crashes and partitions"),
          new Experiment(
              "fleet-size",
              "traffic and detection times of the membership protocol by fleet size, on a virtual"
                  + " clock"),
          new Experiment(
              "owner",
              "gateway processes, one of which at a time deletes expired purges, with kills, pauses"
                  + " and partitions"),
          new Experiment(
              "owner-model", "leader election on a virtual clock, also in faulty variants"),
          new Experiment(
              "planners-model",
              "terms, grants and shares of planners and forwarders on a virtual clock, with random"
                  + " faults"),
          new Experiment(
              "registry-size",
              "a registry with many caches, changes and clients on a virtual clock; reconnection of"
                  + " all clients after an outage"),
          new Experiment(
              "endpoints-size",
              "resources that a gateway process needs for the usual number of caches and for 16"
                  + " times as many"),
          new Experiment("standin", "a stand-in registry for experiments by hand"));

  @Command(name = "list", description = "Lists the experiments, one per line.")
  int list() {
    for (Experiment experiment : EXPERIMENTS) {
      System.out.printf("%-16s%s%n", experiment.name, experiment.description);
    }
    return AmberpathCommand.SUCCESS;
  }
}
