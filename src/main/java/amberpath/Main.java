package amberpath;

import amberpath.wire.WireHost;
import java.io.IOException;

/** The command line: one subcommand for each way in to the decisions. */
public final class Main {
  private Main() {
  }

  public static void main(String[] args) throws IOException {
    if (args.length == 1 && args[0].equals("wirehost")) {
      System.exit(new WireHost(System.in, System.out, System.err).run());
    }
    System.err.println("usage: amberpath wirehost");
    System.exit(2);
  }
}
