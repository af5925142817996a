package org.amberpath.cli;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import java.util.concurrent.Callable;
import org.amberpath.lab.registry.StandInRegistry;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab standin}: runs a stand-in registry until the process is terminated. */
@Command(
    name = "standin",
    mixinStandardHelpOptions = true,
    description =
        "Runs a stand-in registry, which speaks the protocols of etcd and Consul, until it is"
            + " stopped.")
final class LabStandInCommand implements Callable<Integer> {
  @Parameters(paramLabel = "WHAT", description = "Stand-in to run; only registry is available.")
  private String kind;

  @Option(
      names = "--ports",
      split = ",",
      defaultValue = "2379,2380,2381",
      description = "Ports on loopback, one endpoint on each. Default: ${DEFAULT-VALUE}.")
  private int[] ports;

  @Override
  public Integer call() throws Exception {
    if (!kind.equals("registry")) {
      System.err.println("lab standin: WHAT: expected registry, got " + kind);
      return AmberpathCommand.USAGE_ERROR;
    }
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
    for (int port : ports) {
      int boundPort = registry.open(port).toCompletionStage().toCompletableFuture().get().port();
      System.out.println("stand-in registry at 127.0.0.1:" + boundPort);
    }
    Thread.currentThread().join();
    return AmberpathCommand.SUCCESS;
  }
}
