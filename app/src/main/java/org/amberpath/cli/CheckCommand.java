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
    description = "Reads settings and says what is wrong.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "An INI file, or the platform's JSON.")
  private Path file;

  @Override
  public Integer call() {
    if (file.toString().endsWith(".json")) {
      GatewayOptions.read(Map.of("PROXY_CONFIG", file.toString(), "PROXY_LISTEN", "127.0.0.1:0"));
    } else {
      DeploymentFile.read(file);
    }
    System.out.println(file + ": good");
    return AmberpathCommand.SUCCESS;
  }
}
