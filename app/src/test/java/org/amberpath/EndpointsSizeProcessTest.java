package org.amberpath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.amberpath.lab.endpoints.EndpointsSizeExperiment;
import org.amberpath.lab.testbed.GatewayProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs {@code lab endpoints-size} with 20 and 40 endpoints and checks that every figure that the
 * experiment compares is measured at both sizes.
 */
class EndpointsSizeProcessTest {
  private static final double MIN_MEMORY_MEGABYTES = 10;
  @TempDir private Path folder;

  @Test
  void experimentMeasuresEveryFigureAtBothSizes() throws Exception {
    JsonObject result =
        new JsonObject(
            EndpointsSizeExperiment.run(
                    new EndpointsSizeExperiment.Plan(5, 20, 2, 4, 40, 256, 1, folder),
                    new PrintStream(OutputStream.nullOutputStream()))
                .json());

    for (String size : List.of("usual", "many")) {
      JsonObject figures = result.getJsonObject(size);
      JsonObject details = result.getJsonObject(size + "_details");
      assertTrue(
          figures.getDouble("cpu_s") >= details.getDouble("cpu_s_at_start"), figures.encode());
      assertTrue(details.getDouble("cpu_s_at_start") > 0, details.encode());
      assertTrue(figures.getDouble("peak_memory_mb") > MIN_MEMORY_MEGABYTES, figures.encode());
      assertTrue(figures.getInteger("peak_descriptors") > 0, figures.encode());
      assertTrue(
          figures.getLong("cache_connections") >= details.getLong("caches_asked"),
          figures.encode());
      assertTrue(details.getLong("caches_asked") > 0, details.encode());
      assertTrue(figures.getDouble("share_served") > 0, figures.encode());
      assertEquals(0, details.getInteger("left_to_replace"), "half of the endpoints are replaced");
    }
    assertEquals(20, result.getJsonObject("usual").getInteger("endpoints"));
    assertEquals(40, result.getJsonObject("many").getInteger("endpoints"));
    assertTrue(
        result.getJsonObject("many").getLong("discovery_bytes")
            > result.getJsonObject("usual").getLong("discovery_bytes"),
        "twice the changes: " + result.encode());
    assertTrue(result.getJsonObject("bars").containsKey("cpu_s"));
  }

  @Test
  void testbedStartsGatewaysWithTheDeployedFlags() throws Exception {
    String runLine =
        Files.readAllLines(Path.of("..", "deploy", "balancer.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    List<String> flags =
        Stream.of(runLine.replaceFirst(".*exec java ", "").replaceFirst(" -jar .*", "").split(" "))
            .toList();
    assertEquals(flags, GatewayProcess.DEPLOYED_JVM_FLAGS);
  }
}
