package org.amberpath.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import org.amberpath.gateway.simulation.SimulationHost;
import picocli.CommandLine.Command;

/**
 * Runs the routing decisions of many gateways for the operators' simulator: reads JSON lines from
 * standard input and writes JSON lines to standard output until the input ends.
 */
@Command(
    name = SimulateCommand.NAME,
    aliases = SimulateCommand.ALIAS,
    mixinStandardHelpOptions = true,
    description =
        "Runs the routing decisions of many gateways for the simulator, with JSON lines on standard"
            + " input and output.")
final class SimulateCommand implements Callable<Integer> {
  static final String NAME = "simulate";

  /** The name by which deploy/balancer.toml starts this command. */
  static final String ALIAS = "wirehost";

  @Override
  public Integer call() throws IOException {
    return new SimulationHost(System.in, System.out, System.err).run();
  }
}
