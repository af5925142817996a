package org.amberpath.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;
import org.amberpath.gateway.settings.InvalidSettingsException;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** A gateway as a process of its own: one event loop, stopped by the runtime's word to end. */
public final class Server {
  private static final Logger LOG = Logger.getLogger(Server.class.getName());
  private static final long LOOK_MS = 1000;
  private static final String FORMAT = "java.util.logging.SimpleFormatter.format";

  private Server() {}

  /** Starts a gateway; what keeps it from starting is one plain message and exit code 1. */
  public static void run(Map<String, String> environment, PrintStream err) {
    run(environment, err, GatewayExtensions.NOTHING, true);
  }

  /** The same with what an installation has beside the platform's own. */
  public static void run(
      Map<String, String> environment,
      PrintStream err,
      GatewayExtensions beside,
      boolean withJournal) {
    System.setProperty(FORMAT, System.getProperty(FORMAT, "%1$tF %1$tT.%1$tL %4$s %5$s%6$s%n"));
    GatewayOptions options;
    try {
      options = GatewayOptions.read(environment, withJournal);
    } catch (InvalidSettingsException e) {
      err.println(e.getMessage());
      System.exit(1);
      return;
    }
    Vertx vertx =
        Vertx.builder()
            .withTransport(SingleEventLoopTransport.transport())
            .with(
                new VertxOptions()
                    .setEventLoopPoolSize(1)
                    .setWorkerPoolSize(1)
                    .setInternalBlockingPoolSize(1)
                    .setFileSystemOptions(
                        new FileSystemOptions()
                            .setClassPathResolvingEnabled(false)
                            .setFileCachingEnabled(false)))
            .build();
    Gateway gateway = new Gateway(vertx, options, beside);
    long stopWithin = new ShutdownSchedule(0, options.longestDeadline()).timeLeft(0);
    Supplier<GatewayOptions> anew = () -> GatewayOptions.read(environment, withJournal);
    if (Signal.handle(new Signal("HUP"), signal -> gateway.reload(anew)) == SignalHandler.SIG_IGN) {
      LOG.warning(
          "SIGHUP is ignored by what started this process: PROXY_CONFIG is looked at each second instead");
      look(vertx, Path.of(environment.get("PROXY_CONFIG")), () -> gateway.reload(anew));
    }
    // The runtime ends only after its hooks: all that was taken is answered in this one, set before
    // any can come.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    // Guards against a loop that stands still: the kill may come soon after.
                    gateway
                        .stop()
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(stopWithin, TimeUnit.NANOSECONDS);
                  } catch (Exception e) {
                    err.println("stop: " + e);
                  }
                },
                "stop"));
    gateway
        .start()
        .onFailure(
            e -> {
              err.println(e.getMessage());
              Runtime.getRuntime().halt(1);
            });
  }

  /**
   * Guards against a configuration that is replaced and never heard of: a process that was started
   * with SIGHUP ignored, as by nohup, can't take it back (the runtime leaves it ignored), and would
   * go on asking a journal that is gone.
   */
  private static void look(Vertx vertx, Path file, Runnable changed) {
    Callable<FileTime> look = () -> Files.getLastModifiedTime(file);
    FileTime[] seen = new FileTime[1];
    vertx.executeBlocking(look).onSuccess(first -> seen[0] = first);
    vertx.setPeriodic(
        LOOK_MS,
        tick ->
            vertx
                .executeBlocking(look)
                .onSuccess(
                    now -> {
                      if (!now.equals(seen[0])) {
                        seen[0] = now;
                        changed.run();
                      }
                    }));
  }
}
