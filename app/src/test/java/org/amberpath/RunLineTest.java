package org.amberpath;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the text of deploy/balancer.toml against the platform's requirements. */
class RunLineTest {
  private final String deploy;
  private final String run;

  RunLineTest() throws IOException {
    deploy = Files.readString(Path.of("..", "deploy", "balancer.toml"));
    run = line("run");
  }

  private String line(String key) {
    Matcher line = Pattern.compile("(?m)^" + key + " = \"(.*)\"\\s*#").matcher(deploy);
    assertTrue(line.find(), key);
    return line.group(1);
  }

  @Test
  void runLineReplacesTheShellWithOneProcess() {
    assertTrue(run.startsWith("exec java "), run);
    assertFalse(run.matches(".*[;&|<>`$()].*"), "starts or feeds a second program: " + run);
    assertFalse(
        run.contains("OnError") || run.contains("OnOutOfMemory") || run.contains("-agent"), run);
  }

  @Test
  void runLineUsesIpv4AndNoNameLookup() {
    assertTrue(run.contains(" -Djava.net.preferIPv4Stack=true "), run);
    assertTrue(run.contains(" -Dvertx.disableDnsResolver=true "), run);
  }

  @Test
  void runLineSwitchesOnNoOptionalFeature() {
    assertTrue(run.endsWith(" -jar target/amberpath.jar serve"), run);
    for (String off :
        List.of(
            "AMBERPATH_FILE",
            "--file",
            "amberpath.ini",
            "registry",
            "planner",
            "fleet",
            "owner",
            "recovery")) {
      assertFalse(run.contains(off), off);
    }
  }

  @Test
  void buildNeedsOnlyMavenAndJava() {
    assertTrue(line("build").startsWith("mvn -q -DskipTests package"));
    assertTrue(deploy.contains("\npackages = [] "));
  }

  /**
   * Interfaces between the decision logic and its callers, which contain no decisions themselves.
   */
  private static final Set<String> INTERFACES =
      Set.of(
          "RoutingEvents",
          "RoutingEventHandler",
          "RoutingActions",
          "RoutingConfig",
          "EndpointListener");

  @Test
  void policyListNamesEveryDecisionFile() throws IOException {
    Matcher list = Pattern.compile("(?s)\npolicy = \\[(.*?)\n]").matcher(deploy);
    assertTrue(list.find());
    Set<String> named = new TreeSet<>();
    Matcher path = Pattern.compile("\"(.+?)\"").matcher(list.group(1));
    while (path.find()) {
      assertTrue(Files.exists(Path.of("..", path.group(1))), path.group(1));
      named.add(path.group(1));
    }
    String folder = "routing/src/main/java/org/amberpath/routing";
    try (Stream<Path> files = Files.list(Path.of("..", folder))) {
      files
          .map(file -> file.getFileName().toString())
          .filter(name -> !INTERFACES.contains(name.replace(".java", "")))
          .forEach(name -> assertTrue(named.contains(folder + "/" + name), name));
    }
  }
}
