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
      description = "The gateway's settings, with [fleet] operators; AMBERPATH_FILE otherwise.")
  private Path file;

  @Option(names = "--json", description = "One JSON object a line.")
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
