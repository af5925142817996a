package org.amberpath.lab.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.util.Map;
import org.amberpath.lab.ExperimentReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.aggregator.ArgumentsAccessor;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks each bound of {@link UsageBounds} for a gateway with 3,200 endpoints, against one with
 * 200.
 */
class UsageBoundsTest {
  private static final GatewayUsage USUAL = new GatewayUsage(200, 2, 80, 100, 200, 50_000, 0.9);

  private static JsonObject comparisonReport(
      double cpu, double memory, int descriptors, long connections, long bytes, double served) {
    ExperimentReport report = new ExperimentReport(1);
    UsageBounds.compare(
        USUAL,
        new GatewayUsage(3200, cpu, memory, descriptors, connections, bytes, served),
        report);
    return new JsonObject(report.json());
  }

  @Test
  void usageJustWithinEachBoundHolds() {
    assertTrue(comparisonReport(3.204, 140.8, 240, 540, 1_764_000, 0.765).getBoolean("holds"));
  }

  @ParameterizedTest
  @CsvSource({
    "cpu_s,3.21,80,100,200,50000,0.9",
    "peak_memory_mb,2,141,100,200,50000,0.9",
    "peak_descriptors,2,80,241,200,50000,0.9",
    "cache_connections,2,80,100,541,50000,0.9",
    "discovery_bytes,2,80,100,200,1764001,0.9",
    "share_served,2,80,100,200,50000,0.764"
  })
  void usageJustBeyondOneBoundMissesThatBarAlone(ArgumentsAccessor usage) {
    String exceededFigure = usage.getString(0);

    JsonObject bars =
        comparisonReport(
                usage.getDouble(1),
                usage.getDouble(2),
                usage.getInteger(3),
                usage.getLong(4),
                usage.getLong(5),
                usage.getDouble(6))
            .getJsonObject("bars");

    for (Map.Entry<String, Object> bar : bars) {
      assertEquals(!bar.getKey().equals(exceededFigure), bar.getValue(), bar.getKey());
    }
    assertEquals(6, bars.size());
  }
}
