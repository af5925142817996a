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

  /** A client for the gateway that the file names; reads the file. */
  AdminClient client() {
    return AdminClient.fromFile(file);
  }
}
