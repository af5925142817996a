package org.amberpath.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Options of the commands that talk to a running gateway's admin endpoint. */
final class AdminOptions {
  @Option(
      names = "--file",
      required = true,
      defaultValue = "${AMBERPATH_FILE}",
      paramLabel = "INI",
      description =
          "Deployment file whose [fleet] operators key is the address of the gateway's admin"
              + " endpoint. Default: the value of AMBERPATH_FILE.")
  private Path file;

  @Option(names = "--json", description = "Print results as JSON, one object per line.")
  private boolean json;

  /** Whether results are printed as JSON. */
  boolean json() {
    return json;
  }

  /** Reads the deployment file and creates a client for the admin address that it sets. */
  AdminClient client() {
    return AdminClient.fromFile(file);
  }
}
