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
import org.amberpath.gateway.transport.SingleEventLoopTransport;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Runs a gateway as a process with one event loop. SIGTERM shuts it down gracefully; SIGHUP makes
 * it reread its configuration.
 */
public final class Server {
  /** Whether the gateway discovers endpoints and purges by the platform's journal. */
  public enum JournalMode {
    /** The gateway polls the journal. */
    POLLED,
    /** The journal is not used; an extension is the only source of endpoints. */
    UNUSED
  }

  private static final Logger LOG = Logger.getLogger(Server.class.getName());
  private static final long FILE_POLL_MILLIS = 1000;
  private static final String FORMAT_KEY = "java.util.logging.SimpleFormatter.format";
  private static final String LOG_FORMAT = "%1$tF %1$tT.%1$tL %4$s %5$s%6$s%n";

  private Server() {}

  /**
   * Starts a gateway without extensions and returns while the gateway runs. If it can't start, one
   * message is printed and the process exits with code 1.
   *
   * @param environment the environment of the process, which names the configuration file
   * @param err receives messages for operators
   */
  public static void run(Map<String, String> environment, PrintStream err) {
    run(environment, err, GatewayExtensions.NONE, JournalMode.POLLED);
  }

  /** Starts a gateway with the extensions of a deployment, and with or without the journal. */
  public static void run(
      Map<String, String> environment,
      PrintStream err,
      GatewayExtensions extensions,
      JournalMode journal) {
    System.setProperty(FORMAT_KEY, System.getProperty(FORMAT_KEY, LOG_FORMAT));
    Supplier<GatewayOptions> reader =
        () -> GatewayOptions.read(environment, journal == JournalMode.POLLED);
    GatewayOptions options;
    try {
      options = reader.get();
    } catch (InvalidSettingsException e) {
      err.println(e.getMessage());
      System.exit(1);
      return;
    }
    Vertx vertx = createVertx();
    Gateway gateway = new Gateway(vertx, options, extensions);
    reloadOnSighup(vertx, Path.of(environment.get("PROXY_CONFIG")), () -> gateway.reload(reader));
    stopOnExit(gateway, options, err);
    gateway
        .start()
        .onFailure(
            e -> {
              err.println(e.getMessage());
              Runtime.getRuntime().halt(1);
            });
  }

  private static Vertx createVertx() {
    FileSystemOptions fileSystemOptions =
        new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);
    return Vertx.builder()
        .withTransport(SingleEventLoopTransport.transport())
        .with(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(fileSystemOptions))
        .build();
  }

  private static void reloadOnSighup(Vertx vertx, Path configuration, Runnable reload) {
    if (Signal.handle(new Signal("HUP"), signal -> reload.run()) == SignalHandler.SIG_IGN) {
      LOG.warning(
          "SIGHUP is ignored, as inherited from the parent process: "
              + "PROXY_CONFIG is polled each second instead");
      reloadOnFileChange(vertx, configuration, reload);
    }
  }

  /**
   * Registers a shutdown hook that stops the gateway. The Java runtime exits only after its hooks
   * have returned; this one is registered before the gateway listens, so that every request is
   * answered.
   */
  private static void stopOnExit(Gateway gateway, GatewayOptions options, PrintStream err) {
    long timeoutNanos = new ShutdownSchedule(0, options.maxDeadlineNanos()).timeLeftNanos(0);
    Runnable stop =
        () -> {
          try {
            // The timeout guards against a blocked event loop, which would delay the exit until
            // SIGKILL.
            gateway
                .stop()
                .toCompletionStage()
                .toCompletableFuture()
                .get(timeoutNanos, TimeUnit.NANOSECONDS);
          } catch (Exception e) {
            err.println(
                "graceful shutdown not completed within "
                    + TimeUnit.NANOSECONDS.toMillis(timeoutNanos)
                    + " ms; the process exits now: "
                    + e);
          }
        };
    Runtime.getRuntime().addShutdownHook(new Thread(stop, "stop"));
  }

  /**
   * Reloads whenever the modification time of the file has changed, checked every second. Used in a
   * process that was started with SIGHUP ignored, as by nohup: the Java runtime leaves the signal
   * ignored, so that the gateway would never reload and would go on polling the journal at an
   * address that is no longer used.
   */
  private static void reloadOnFileChange(Vertx vertx, Path configuration, Runnable reload) {
    Callable<FileTime> readTime = () -> Files.getLastModifiedTime(configuration);
    FileTime[] lastTime = new FileTime[1];
    vertx.executeBlocking(readTime).onSuccess(first -> lastTime[0] = first);
    vertx.setPeriodic(
        FILE_POLL_MILLIS,
        timer ->
            vertx
                .executeBlocking(readTime)
                .onSuccess(
                    time -> {
                      if (!time.equals(lastTime[0])) {
                        lastTime[0] = time;
                        reload.run();
                      }
                    }));
  }
}
