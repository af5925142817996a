package org.amberpath.gateway.testsupport;

import org.amberpath.gateway.Server;

/** Main class of a gateway in a separate process, without the command line interface. */
public final class ServeProcess {
  private ServeProcess() {}

  /** Runs a gateway that is configured by the environment and logs to standard error. */
  public static void main(String[] args) {
    Server.run(System.getenv(), System.err);
  }
}
