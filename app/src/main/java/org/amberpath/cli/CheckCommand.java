package org.amberpath.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import org.amberpath.cli.settings.DeploymentFile;
import org.amberpath.gateway.GatewayOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Validates a settings file with the parser that {@code serve} uses and reports its first fault. A
 * {@code .json} file is parsed as the gateway's {@code PROXY_CONFIG}, any other file as a
 * deployment file.
 */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Validates a settings file and reports the first error in it.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "FILE",
      description =
          "A deployment file (INI), or the platform's settings if the name ends in .json.")
  private Path file;

  @Override
  public Integer call() {
    if (file.toString().endsWith(".json")) {
      GatewayOptions.read(Map.of("PROXY_CONFIG", file.toString(), "PROXY_LISTEN", "127.0.0.1:0"));
    } else {
      DeploymentFile.read(file);
    }
    System.out.println(file + ": valid");
    return AmberpathCommand.SUCCESS;
  }
}
