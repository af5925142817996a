package amberpath;

import amberpath.gateway.Server;
import amberpath.wire.WireHost;
import java.io.IOException;

/** The command line: one subcommand for each way in to the decisions. */
public final class Main {
  private Main() {
  }

  public static void main(String[] args) throws IOException {
    String command = args.length == 1 ? args[0] : "";
    switch (command) {
      case "serve" -> Server.run(System.getenv(), System.err);
      case "wirehost" -> System.exit(new WireHost(System.in, System.out, System.err).run());
      default -> {
        System.err.println("usage: amberpath serve | wirehost");
        System.exit(2);
      }
    }
  }
}
