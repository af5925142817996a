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
  private final String deployFile;
  private final String runLine;

  RunLineTest() throws IOException {
    deployFile = Files.readString(Path.of("..", "deploy", "balancer.toml"));
    runLine = value("run");
  }

  private String value(String key) {
    Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"\\s*#").matcher(deployFile);
    assertTrue(matcher.find(), key);
    return matcher.group(1);
  }

  @Test
  void runLineReplacesTheShellWithOneProcess() {
    assertTrue(runLine.startsWith("exec java "), runLine);
    assertFalse(runLine.matches(".*[;&|<>`$()].*"), "starts or feeds a second program: " + runLine);
    assertFalse(
        runLine.contains("OnError")
            || runLine.contains("OnOutOfMemory")
            || runLine.contains("-agent"),
        runLine);
  }

  @Test
  void runLineUsesIpv4AndNoNameLookup() {
    assertTrue(runLine.contains(" -Djava.net.preferIPv4Stack=true "), runLine);
    assertTrue(runLine.contains(" -Dvertx.disableDnsResolver=true "), runLine);
  }

  @Test
  void runLineEnablesNoOptionalFeature() {
    assertTrue(runLine.endsWith(" -jar target/amberpath.jar serve"), runLine);
    for (String optionalFeature :
        List.of(
            "AMBERPATH_FILE",
            "--file",
            "amberpath.ini",
            "registry",
            "planner",
            "fleet",
            "owner",
            "recovery")) {
      assertFalse(runLine.contains(optionalFeature), optionalFeature);
    }
  }

  @Test
  void buildNeedsOnlyMavenAndJava() {
    assertTrue(value("build").startsWith("mvn -q -DskipTests package"));
    assertTrue(deployFile.contains("\npackages = [] "));
  }

  /**
   * Interfaces between the decision logic and its callers, which contain no decisions themselves.
   */
  private static final Set<String> BOUNDARY_INTERFACES =
      Set.of(
          "RoutingEvents",
          "RoutingEventHandler",
          "RoutingActions",
          "RoutingConfig",
          "EndpointListener");

  @Test
  void policyListNamesEveryDecisionFile() throws IOException {
    Matcher policyList = Pattern.compile("(?s)\npolicy = \\[(.*?)\n]").matcher(deployFile);
    assertTrue(policyList.find());
    Set<String> listedFiles = new TreeSet<>();
    Matcher listedPath = Pattern.compile("\"(.+?)\"").matcher(policyList.group(1));
    while (listedPath.find()) {
      assertTrue(Files.exists(Path.of("..", listedPath.group(1))), listedPath.group(1));
      listedFiles.add(listedPath.group(1));
    }
    String folder = "routing/src/main/java/org/amberpath/routing";
    try (Stream<Path> files = Files.list(Path.of("..", folder))) {
      files
          .map(file -> file.getFileName().toString())
          .filter(name -> !BOUNDARY_INTERFACES.contains(name.replace(".java", "")))
          .forEach(name -> assertTrue(listedFiles.contains(folder + "/" + name), name));
    }
  }
}
