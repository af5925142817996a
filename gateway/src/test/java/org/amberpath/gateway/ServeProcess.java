package org.amberpath.gateway;

/** A gateway as a process of its own, without the command line round it. */
public final class ServeProcess {
  private ServeProcess() {}

  public static void main(String[] args) {
    Server.run(System.getenv(), System.err);
  }
}
