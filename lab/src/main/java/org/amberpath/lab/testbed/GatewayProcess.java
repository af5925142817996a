package org.amberpath.lab.testbed;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One process of a gateway, from its start to its end. Its ports are read from its log, which goes
 * to a file. It is ended by its own id alone.
 */
public final class GatewayProcess {
  private static final Pattern CLIENT_PORT_PATTERN =
      Pattern.compile(": listens at 127\\.0\\.0\\.1:(\\d+)$");
  private static final Pattern FLEET_PORT_PATTERN =
      Pattern.compile(": membership: joining .* listen=127\\.0\\.0\\.1:(\\d+) ");
  private static final Pattern ADMIN_PORT_PATTERN =
      Pattern.compile("operators ask at 127\\.0\\.0\\.1:(\\d+)$");
  private static final List<String> DEFAULT_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xms48m",
          "-Xmx64m",
          "-Xss512k",
          "-Djava.net.preferIPv4Stack=true",
          "-Dvertx.disableDnsResolver=true");

  /** The runtime's flags on the run line of deploy/balancer.toml. */
  public static final List<String> DEPLOYED_FLAGS =
      List.of(
          "-Djava.net.preferIPv4Stack=true",
          "-XX:-UsePerfData",
          "-XX:+UseSerialGC",
          "-Xms64m",
          "-Xmx64m",
          "-XX:MaxDirectMemorySize=24m",
          "-XX:ReservedCodeCacheSize=24m",
          "-XX:MaxMetaspaceSize=48m",
          "-Xss512k",
          "-XX:TieredStopAtLevel=1",
          "-Dio.netty.allocator.type=pooled",
          "-Dio.netty.allocator.numDirectArenas=1",
          "-Dio.netty.allocator.numHeapArenas=0",
          "-Dio.netty.jfr.enabled=false",
          "-Dvertx.disableDnsResolver=true",
          "-XX:SharedArchiveFile=target/amberpath.jsa");

  private static final long STOP_TIMEOUT_SECONDS = 8;

  private final Process process;
  private final CompletableFuture<Integer> clientPort = new CompletableFuture<>();
  private final CompletableFuture<Integer> fleetPort = new CompletableFuture<>();
  private final CompletableFuture<Integer> adminPort = new CompletableFuture<>();
  private final Thread logReader;
  private volatile int severeLines;

  /**
   * Starts the program of this process's own class path.
   *
   * @param main its main class, then its arguments
   * @param log where its log goes, after what is there
   */
  public GatewayProcess(List<String> main, Map<String, String> environment, Path log)
      throws IOException {
    this(DEFAULT_FLAGS, main, environment, log);
  }

  /** Starts the same with the given flags of the runtime. */
  public GatewayProcess(
      List<String> flags, List<String> main, Map<String, String> environment, Path log)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), ParentWatchdog.class.getName()));
    command.addAll(main);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().remove("AMBERPATH_FILE");
    builder.environment().putAll(environment);
    process = builder.start();
    logReader = new Thread(() -> copyLog(log), "log of " + process.pid());
    logReader.setDaemon(true);
    logReader.start();
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // This thread alone counts; others only read.
  private void copyLog(Path log) {
    try (BufferedReader in =
            new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        BufferedWriter out =
            Files.newBufferedWriter(log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        out.write(line);
        out.newLine();
        matchPort(CLIENT_PORT_PATTERN, line, clientPort);
        matchPort(FLEET_PORT_PATTERN, line, fleetPort);
        matchPort(ADMIN_PORT_PATTERN, line, adminPort);
        severeLines += line.contains("SEVERE") ? 1 : 0;
      }
    } catch (IOException e) {
      // The process is gone, and its log with it.
    }
    for (CompletableFuture<Integer> port : List.of(clientPort, fleetPort, adminPort)) {
      port.completeExceptionally(new IOException("the gateway ended first; its log: " + log));
    }
  }

  private static void matchPort(Pattern pattern, String line, CompletableFuture<Integer> port) {
    Matcher matcher = pattern.matcher(line);
    if (matcher.find()) {
      port.complete(Integer.parseInt(matcher.group(1)));
    }
  }

  /** The port for clients, once it serves. */
  public CompletableFuture<Integer> clientPort() {
    return clientPort;
  }

  /** The port for datagrams of other gateways. */
  public CompletableFuture<Integer> fleetPort() {
    return fleetPort;
  }

  /** The port of the admin endpoint. */
  public CompletableFuture<Integer> adminPort() {
    return adminPort;
  }

  /** Severe lines of its log. */
  public int severeLines() {
    return severeLines;
  }

  /** The process id under which the system counts what it uses. */
  public long processId() {
    return process.pid();
  }

  /** Whether the process has not ended. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** SIGKILL. */
  public void kill() {
    process.destroyForcibly();
  }

  /** SIGTERM; the pipes stay open, since {@link ParentWatchdog} ends a process without them. */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** SIGHUP. */
  public void hangUp() {
    signal("kill -HUP " + process.pid());
  }

  /** SIGSTOP, and SIGCONT so much later even if this process ends meanwhile. */
  public void pause(long durationMillis) {
    String pid = Long.toString(process.pid());
    signal("kill -STOP " + pid + "; sleep " + durationMillis / 1000.0 + "; kill -CONT " + pid);
  }

  private static void signal(String command) {
    try {
      new ProcessBuilder("sh", "-c", command).start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Waits for its end, and kills it if that takes too long. */
  public int awaitExit() throws InterruptedException {
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      kill();
    }
    int code = process.waitFor();
    logReader.join(STOP_TIMEOUT_SECONDS * 1000);
    return code;
  }
}
