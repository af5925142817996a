package org.amberpath.lab.endpoints;

import org.amberpath.lab.ExperimentReport;

/**
 * Bounds of the resource usage of a gateway at an increased number of endpoints and the same
 * traffic: most are a multiple of its usage at the usual number, plus a constant and an allowance
 * for each thousand endpoints.
 */
public final class UsageBounds {
  private static final double CPU_TIMES = 1.4;
  private static final double CPU_SECONDS = 0.02;
  private static final double CPU_SECONDS_PER_THOUSAND = 0.12;
  private static final double MEMORY_TIMES = 1.5;
  private static final double MEMORY_MEGABYTES = 8;
  private static final double MEMORY_MEGABYTES_PER_THOUSAND = 4;
  private static final double DESCRIPTOR_TIMES = 2;
  private static final double DESCRIPTORS = 40;
  private static final double CONNECTION_TIMES = 2.5;
  private static final double CONNECTIONS = 40;
  private static final double DISCOVERY_TIMES = 2;
  private static final double DISCOVERY_BYTES = 64_000;
  private static final double DISCOVERY_BYTES_PER_THOUSAND = 500_000;
  private static final double SERVED_TIMES = 0.85;
  private static final double ROUNDING = 1e-9;

  private UsageBounds() {}

  /** Adds one bar for each figure to a report, and the bound that the figure was compared with. */
  public static void compare(GatewayUsage usual, GatewayUsage scaled, ExperimentReport result) {
    double thousands = scaled.endpoints() / 1000.0;
    atMost(
        result,
        "cpu_s",
        scaled.cpuSeconds(),
        CPU_TIMES * usual.cpuSeconds() + CPU_SECONDS + CPU_SECONDS_PER_THOUSAND * thousands);
    atMost(
        result,
        "peak_memory_mb",
        scaled.peakMemoryMegabytes(),
        MEMORY_TIMES * usual.peakMemoryMegabytes()
            + MEMORY_MEGABYTES
            + MEMORY_MEGABYTES_PER_THOUSAND * thousands);
    atMost(
        result,
        "peak_descriptors",
        scaled.peakDescriptors(),
        DESCRIPTOR_TIMES * usual.peakDescriptors() + DESCRIPTORS);
    atMost(
        result,
        "cache_connections",
        (double) scaled.cacheConnections(),
        CONNECTION_TIMES * usual.cacheConnections() + CONNECTIONS);
    atMost(
        result,
        "discovery_bytes",
        (double) scaled.discoveryBytes(),
        DISCOVERY_TIMES * usual.discoveryBytes()
            + DISCOVERY_BYTES
            + DISCOVERY_BYTES_PER_THOUSAND * thousands);
    double leastServed = SERVED_TIMES * usual.shareServed();
    result
        .figure("least_share_served", rounded(leastServed))
        .bar("share_served", scaled.shareServed() >= leastServed - ROUNDING);
  }

  private static void atMost(ExperimentReport result, String name, double value, double bound) {
    result.figure("most_" + name, rounded(bound)).bar(name, value <= bound + ROUNDING);
  }

  static double rounded(double value) {
    return Math.round(value * 1000) / 1000.0;
  }
}
