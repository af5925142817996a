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
 * One operating system process that runs a gateway. The process appends its log to a file, from
 * which its ports are read. Signals are sent to its process id only.
 */
public final class GatewayProcess {
  private static final Pattern CLIENT_PORT_PATTERN =
      Pattern.compile(": listens at 127\\.0\\.0\\.1:(\\d+)$");
  private static final Pattern FLEET_PORT_PATTERN =
      Pattern.compile(": membership: joining .* listen=127\\.0\\.0\\.1:(\\d+) ");
  private static final Pattern ADMIN_PORT_PATTERN =
      Pattern.compile("operators ask at 127\\.0\\.0\\.1:(\\d+)$");
  private static final List<String> DEFAULT_JVM_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xms48m",
          "-Xmx64m",
          "-Xss512k",
          "-Djava.net.preferIPv4Stack=true",
          "-Dvertx.disableDnsResolver=true");

  /** The JVM flags on the run line of deploy/balancer.toml. */
  public static final List<String> DEPLOYED_JVM_FLAGS =
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
  private volatile int severeLineCount;

  /**
   * Starts a program from the class path of this process.
   *
   * @param mainClassAndArguments the main class, then its arguments
   * @param environment variables that are added to those of this process, without AMBERPATH_FILE
   * @param log the file to which the standard output and error are appended
   */
  public GatewayProcess(
      List<String> mainClassAndArguments, Map<String, String> environment, Path log)
      throws IOException {
    this(DEFAULT_JVM_FLAGS, mainClassAndArguments, environment, log);
  }

  /** Starts a program from the class path of this process with the given JVM flags. */
  public GatewayProcess(
      List<String> jvmFlags,
      List<String> mainClassAndArguments,
      Map<String, String> environment,
      Path log)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmFlags);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), ParentWatchdog.class.getName()));
    command.addAll(mainClassAndArguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().remove("AMBERPATH_FILE");
    builder.environment().putAll(environment);
    process = builder.start();
    logReader = new Thread(() -> copyLog(log), "log of " + process.pid());
    logReader.setDaemon(true);
    logReader.start();
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // This thread is the only writer.
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
        severeLineCount += line.contains("SEVERE") ? 1 : 0;
      }
    } catch (IOException e) {
      // The process has ended and its output pipe is closed.
    }
    for (CompletableFuture<Integer> port : List.of(clientPort, fleetPort, adminPort)) {
      port.completeExceptionally(
          new IOException(
              "gateway process "
                  + process.pid()
                  + " ended before it logged all of its ports; see "
                  + log));
    }
  }

  private static void matchPort(Pattern pattern, String line, CompletableFuture<Integer> port) {
    Matcher matcher = pattern.matcher(line);
    if (matcher.find()) {
      port.complete(Integer.parseInt(matcher.group(1)));
    }
  }

  /**
   * Returns the port for clients, completed when the gateway listens; fails if the process ends
   * before.
   */
  public CompletableFuture<Integer> clientPort() {
    return clientPort;
  }

  /**
   * Returns the port for membership datagrams of other gateways; fails if the process ends before
   * it has logged the port.
   */
  public CompletableFuture<Integer> fleetPort() {
    return fleetPort;
  }

  /**
   * Returns the port of the admin endpoint; fails if the process ends before it has logged the
   * port.
   */
  public CompletableFuture<Integer> adminPort() {
    return adminPort;
  }

  /** Returns the number of log lines of level SEVERE so far. */
  public int severeLineCount() {
    return severeLineCount;
  }

  /** Returns the process id. */
  public long processId() {
    return process.pid();
  }

  /** Returns whether the process has not ended. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGKILL. */
  public void kill() {
    process.destroyForcibly();
  }

  /**
   * Sends SIGTERM and leaves the pipes open: {@link ParentWatchdog} ends a process at the end of
   * its standard input, which would preempt the shutdown.
   */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** Sends SIGHUP. */
  public void hangUp() {
    runShellCommand("kill -HUP " + process.pid());
  }

  /**
   * Sends SIGSTOP, and SIGCONT after the given time. A separate shell process sends both, so that
   * the gateway is resumed even if this process ends in the meantime.
   */
  public void pause(long durationMillis) {
    String pid = Long.toString(process.pid());
    runShellCommand(
        "kill -STOP " + pid + "; sleep " + durationMillis / 1000.0 + "; kill -CONT " + pid);
  }

  private static void runShellCommand(String command) {
    try {
      new ProcessBuilder("sh", "-c", command).start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Waits for the process to end, and kills it after {@value #STOP_TIMEOUT_SECONDS} s.
   *
   * @return its exit code
   */
  public int awaitExit() throws InterruptedException {
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      kill();
    }
    int code = process.waitFor();
    logReader.join(STOP_TIMEOUT_SECONDS * 1000);
    return code;
  }
}
