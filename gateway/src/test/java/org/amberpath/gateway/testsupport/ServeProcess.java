package org.amberpath.gateway.testsupport;

import org.amberpath.gateway.Server;

/** A gateway as a process of its own, without the command line round it. */
public final class ServeProcess {
  private ServeProcess() {}

  /** Serves by what the environment names, and logs on standard error. */
  public static void main(String[] args) {
    Server.run(System.getenv(), System.err);
  }
}
