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
 * A gateway as a process of its own: one event loop, shut down by SIGTERM and told by SIGHUP to
 * read its configuration again.
 */
public final class Server {
  /** Whether the platform's journal is used. */
  public enum JournalMode {
    /** It is polled for endpoints and purges. */
    POLLED,
    /** It is not used: an extension is the only source. */
    UNUSED
  }

  private static final Logger LOG = Logger.getLogger(Server.class.getName());
  private static final long FILE_POLL_MILLIS = 1000;
  private static final String FORMAT_KEY = "java.util.logging.SimpleFormatter.format";
  private static final String LOG_FORMAT = "%1$tF %1$tT.%1$tL %4$s %5$s%6$s%n";

  private Server() {}

  /**
   * Starts a gateway and returns; the process goes on. What keeps it from starting is one plain
   * message and exit code 1.
   *
   * @param environment the process's environment, which names the configuration
   * @param err where messages for operators go
   */
  public static void run(Map<String, String> environment, PrintStream err) {
    run(environment, err, GatewayExtensions.NONE, JournalMode.POLLED);
  }

  /** The same with a deployment's extensions. */
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
    reloadOnChange(vertx, Path.of(environment.get("PROXY_CONFIG")), () -> gateway.reload(reader));
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
    FileSystemOptions noFiles =
        new FileSystemOptions().setClassPathResolvingEnabled(false).setFileCachingEnabled(false);
    return Vertx.builder()
        .withTransport(SingleEventLoopTransport.transport())
        .with(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(noFiles))
        .build();
  }

  private static void reloadOnChange(Vertx vertx, Path configuration, Runnable reload) {
    if (Signal.handle(new Signal("HUP"), signal -> reload.run()) == SignalHandler.SIG_IGN) {
      LOG.warning(
          "SIGHUP is ignored, as inherited from the parent process: "
              + "PROXY_CONFIG is polled each second instead");
      pollFile(vertx, configuration, reload);
    }
  }

  /**
   * Shuts down in a hook: the runtime exits only after its hooks, and this one is set before any
   * request can come, so that all requests are answered.
   */
  private static void stopOnExit(Gateway gateway, GatewayOptions options, PrintStream err) {
    long timeoutNanos = new ShutdownSchedule(0, options.maxDeadlineNanos()).timeLeft(0);
    Runnable stop =
        () -> {
          try {
            // Guards against a stalled event loop: SIGKILL may come soon after.
            gateway
                .stop()
                .toCompletionStage()
                .toCompletableFuture()
                .get(timeoutNanos, TimeUnit.NANOSECONDS);
          } catch (Exception e) {
            err.println("stop: " + e);
          }
        };
    Runtime.getRuntime().addShutdownHook(new Thread(stop, "stop"));
  }

  /**
   * Guards against a configuration that is replaced unnoticed: a process that was started with
   * SIGHUP ignored, as by nohup, can't take it back (the runtime leaves it ignored), and would go
   * on polling a journal that is gone.
   */
  private static void pollFile(Vertx vertx, Path file, Runnable onChange) {
    Callable<FileTime> readTime = () -> Files.getLastModifiedTime(file);
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
                        onChange.run();
                      }
                    }));
  }
}
