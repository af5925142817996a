import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What all cases share: the record, temporary files, free ports and the gateways' processes. */
final class Rig implements AutoCloseable {
  static final long MS = 1_000_000L;

  /** False with TROUBLE=0 in the environment: the case runs without its disruption. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final Path root;
  final Path temporary;
  private final BufferedWriter record;
  private final long originNanos = System.nanoTime();
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final List<Process> tools = new ArrayList<>();
  private final List<AutoCloseable> closeables = new ArrayList<>();

  /**
   * Creates a rig.
   *
   * @param caseFolder the folder that record.txt is written to
   */
  Rig(String caseFolder) throws IOException {
    root = Path.of(System.getProperty("root")).toAbsolutePath().normalize();
    temporary = Files.createTempDirectory("review");
    record = Files.newBufferedWriter(Path.of(caseFolder, "record.txt"));
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /** Seconds since the rig was created. */
  double seconds() {
    return (System.nanoTime() - originNanos) / 1e9;
  }

  double seconds(long nanos) {
    return (nanos - originNanos) / 1e9;
  }

  /** Writes a line to the record. */
  synchronized void log(String format, Object... arguments) {
    try {
      record.write(String.format("%8.3f  ", seconds()) + String.format(format, arguments) + "\n");
      record.flush();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Writes a line to the record and to standard output. */
  void say(String format, Object... arguments) {
    log(format, arguments);
    System.out.println(String.format(format, arguments));
  }

  /** Closes the given object when the rig is closed. */
  <T extends AutoCloseable> T own(T closeable) {
    closeables.add(closeable);
    return closeable;
  }

  /** A loopback port that nobody listens on. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** The command of `run` in the deploy file. */
  String runCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(7, line.indexOf('"', 7));
      }
    }
    throw new IOException("deploy/balancer.toml has no run");
  }

  /** Starts a gateway by `run` of the deploy file; returns at once. */
  GatewayProcess startGateway(
      String name, int port, String configuration, Map<String, String> environment)
      throws IOException {
    Path folder = Files.createTempDirectory(temporary, name);
    Path config = folder.resolve("config.json");
    Files.writeString(config, configuration);
    File log = folder.resolve("log").toFile();
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", runCommand())
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(log);
    builder.environment().put("PROXY_NAME", name);
    builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("PROXY_CONFIG", config.toString());
    Path own = Files.createDirectory(folder.resolve("tmp"));
    builder.environment().put("TMPDIR", own.toString());
    builder.environment().putAll(environment);
    GatewayProcess gateway = new GatewayProcess(name, port, builder.start(), log.toPath());
    gateways.add(gateway);
    log("gateway %s started, pid %d, listens at 127.0.0.1:%d", name, gateway.process.pid(), port);
    return gateway;
  }

  /** Starts another process of the project, `java -jar target/amberpath.jar` with arguments. */
  Process startTool(String... arguments) throws IOException {
    List<String> command = new ArrayList<>(List.of("java", "-jar", "target/amberpath.jar"));
    command.addAll(List.of(arguments));
    File log = Files.createTempFile(temporary, "tool", ".log").toFile();
    Process process =
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(log)
            .start();
    tools.add(process);
    log("started: %s", String.join(" ", arguments));
    return process;
  }

  /** Runs a command of the project; returns whether it ended with 0. */
  boolean runTool(String... arguments) throws IOException, InterruptedException {
    Process process = startTool(arguments);
    boolean isDone = process.waitFor(20, TimeUnit.SECONDS);
    return isDone && process.exitValue() == 0;
  }

  private void killAll() {
    for (GatewayProcess gateway : gateways) {
      gateway.process.destroyForcibly();
    }
    tools.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
    for (GatewayProcess gateway : gateways) {
      gateway.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      log("---- log of gateway %s", gateway.name);
      List<String> lines = Files.readAllLines(gateway.log, java.nio.charset.StandardCharsets.ISO_8859_1);
      for (String line : lines.subList(0, Math.min(lines.size(), 150))) {
        log("%s", line.replace("%", "%%"));
      }
    }
    record.close();
    for (Process tool : tools) {
      tool.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
    try (var files = Files.walk(temporary)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }

  /** A gateway that was started. */
  static final class GatewayProcess {
    final String name;
    final int port;
    final Process process;
    final Path log;

    GatewayProcess(String name, int port, Process process, Path log) {
      this.name = name;
      this.port = port;
      this.process = process;
      this.log = log;
    }

    boolean isAlive() {
      return process.isAlive();
    }

    /** Waits until the gateway answers status with true. */
    boolean awaitReady(long millis) throws InterruptedException {
      long until = System.nanoTime() + millis * MS;
      while (System.nanoTime() < until && process.isAlive()) {
        if (Client.isReady(port)) {
          return true;
        }
        Thread.sleep(50);
      }
      return false;
    }
  }
}
