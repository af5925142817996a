package org.amberpath.cli;

import java.io.IOException;
import java.util.Map;
import org.amberpath.gateway.Server;
import org.amberpath.gateway.simulation.SimulationHost;

/**
 * Main class of the jar. The two commands that the deploy file names, {@code serve} without a
 * settings file and {@code simulate}, are recognized here, before any class of the command line is
 * loaded: a gateway's start-up time and memory don't depend on picocli or the operators' commands.
 * All other command lines go to {@link AmberpathCommand}.
 */
public final class Main {
  private Main() {}

  /**
   * Runs one command and, unless a gateway was started, exits the process with the command's exit
   * code.
   *
   * @param args the command and its options, as described by {@code --help}
   * @throws IOException if the simulator's streams can't be read or written
   */
  public static void main(String[] args) throws IOException {
    Map<String, String> environment = System.getenv();
    if (isPlainServe(args, environment)) {
      Server.run(environment, System.err);
    } else if (isPlainSimulate(args)) {
      System.exit(new SimulationHost(System.in, System.out, System.err).run());
    } else {
      AmberpathCommand.run(args);
    }
  }

  /** Returns whether the arguments start a gateway without a deployment file. */
  static boolean isPlainServe(String[] args, Map<String, String> environment) {
    return args.length == 1
        && args[0].equals("serve")
        && !environment.containsKey("AMBERPATH_FILE");
  }

  /** Returns whether the arguments start the simulation host, by its name or by its alias. */
  static boolean isPlainSimulate(String[] args) {
    return args.length == 1
        && (args[0].equals(SimulateCommand.NAME) || args[0].equals(SimulateCommand.ALIAS));
  }
}
