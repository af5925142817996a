package org.amberpath.gateway.testsupport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Starts gateways in separate processes. Sets locale, time zone, working directory, environment
 * variables and JVM options, so that the result of a test does not depend on the environment of the
 * test run. Whether SIGHUP is ignored cannot be set: a process that inherits SIGHUP as ignored
 * cannot restore it. {@link #inheritsIgnoredHangUp} tells whether this is the case.
 */
public final class GatewayProcess {
  /**
   * Regular expression for the complete log line that a process which inherits SIGHUP as ignored
   * writes once.
   */
  public static final String HANG_UP_IGNORED =
      "\\d{4}-\\d\\d-\\d\\d \\d\\d:\\d\\d:\\d\\d\\.\\d{3} WARNING SIGHUP is ignored, as inherited"
          + " from the parent process: PROXY_CONFIG is polled each second instead";

  private static final List<String> KEPT_VARIABLES = List.of("PATH", "LD_LIBRARY_PATH");

  private GatewayProcess() {}

  /** Starts a gateway with the given environment. Its log is redirected to its standard output. */
  public static Process start(Path folder, Map<String, String> environment) throws IOException {
    return start(folder, environment, List.of());
  }

  /** Starts a gateway that inherits SIGHUP as ignored, as under nohup. */
  public static Process startWithHangUpIgnored(Path folder, Map<String, String> environment)
      throws IOException {
    return start(folder, environment, List.of("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\""));
  }

  private static Process start(Path folder, Map<String, String> environment, List<String> launcher)
      throws IOException {
    List<String> command = new ArrayList<>(launcher);
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Duser.language=en",
            "-Duser.country=",
            "-Duser.timezone=UTC",
            "-cp",
            absoluteClassPath(),
            ServeProcess.class.getName()));
    ProcessBuilder builder =
        new ProcessBuilder(command).directory(folder.toFile()).redirectErrorStream(true);
    builder.environment().keySet().retainAll(KEPT_VARIABLES);
    builder.environment().put("LC_ALL", "C.UTF-8");
    builder.environment().putAll(environment);
    return builder.start();
  }

  private static String absoluteClassPath() {
    return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator, -1))
        .map(entry -> new File(entry).getAbsolutePath())
        .collect(Collectors.joining(File.pathSeparator));
  }

  /** Returns whether child processes of this process inherit SIGHUP as ignored. */
  public static boolean inheritsIgnoredHangUp() throws Exception {
    return new ProcessBuilder("sh", "-c", "kill -HUP $$").start().waitFor() == 0;
  }

  /**
   * Sends a signal to a process.
   *
   * @param name the signal's name without SIG, such as HUP
   */
  public static void signal(Process process, String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  /**
   * Reads lines until one contains the given text and returns it; fails the test at end of file.
   */
  public static String awaitLine(BufferedReader log, String text) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(text)) {
      line = log.readLine();
    }
    assertNotNull(line, "the log ended without a line that contains: " + text);
    return line;
  }
}
