package org.amberpath.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import org.amberpath.gateway.simulation.SimulationHost;
import picocli.CommandLine.Command;

/**
 * Runs the decisions of many gateways on the operators' simulator: JSON lines on standard input and
 * output, until the input ends.
 */
@Command(
    name = SimulateCommand.NAME,
    aliases = SimulateCommand.ALIAS,
    mixinStandardHelpOptions = true,
    description = "Runs the decisions of many gateways on the simulator, JSON lines in and out.")
final class SimulateCommand implements Callable<Integer> {
  static final String NAME = "simulate";

  /** The name in deploy/balancer.toml. */
  static final String ALIAS = "wirehost";

  @Override
  public Integer call() throws IOException {
    return new SimulationHost(System.in, System.out, System.err).run();
  }
}
