package org.amberpath.cli;

import java.io.IOException;
import java.util.Map;
import org.amberpath.gateway.Server;
import org.amberpath.gateway.simulation.SimulationHost;

/**
 * The way in. What the platform starts is told apart here, before any class of the command line is
 * loaded: a gateway's start and memory owe nothing to the tools.
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    Map<String, String> environment = System.getenv();
    String command = args.length == 1 ? args[0] : "";
    if (command.equals("serve") && !environment.containsKey("AMBERPATH_FILE")) {
      Server.run(environment, System.err);
    } else if (command.equals("wirehost")) {
      System.exit(new SimulationHost(System.in, System.out, System.err).run());
    } else {
      AmberpathCommand.run(args);
    }
  }
}
