package org.amberpath.lab.endpoints;

import org.amberpath.lab.ExperimentReport;

/**
 * Bounds of the resource usage of a gateway at an increased number of endpoints and the same
 * traffic: most are a multiple of its usage at the usual number, plus a constant and an allowance
 * for each thousand endpoints.
 */
public final class UsageBounds {
  private static final double CPU_FACTOR = 1.4;
  private static final double EXTRA_CPU_SECONDS = 0.02;
  private static final double CPU_SECONDS_PER_THOUSAND_ENDPOINTS = 0.12;
  private static final double MEMORY_FACTOR = 1.5;
  private static final double EXTRA_MEMORY_MEGABYTES = 8;
  private static final double MEMORY_MEGABYTES_PER_THOUSAND = 4;
  private static final double DESCRIPTOR_FACTOR = 2;
  private static final double EXTRA_DESCRIPTORS = 40;
  private static final double CONNECTION_FACTOR = 2.5;
  private static final double EXTRA_CONNECTIONS = 40;
  private static final double DISCOVERY_FACTOR = 2;
  private static final double EXTRA_DISCOVERY_BYTES = 64_000;
  private static final double DISCOVERY_BYTES_PER_THOUSAND = 500_000;
  private static final double MIN_SERVED_FACTOR = 0.85;
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private UsageBounds() {}

  /** Adds one bar for each figure to a report, and the bound that the figure was compared with. */
  public static void compare(GatewayUsage usual, GatewayUsage scaled, ExperimentReport report) {
    double thousands = scaled.endpoints() / 1000.0;
    addUpperBound(
        report,
        "cpu_s",
        scaled.cpuSeconds(),
        CPU_FACTOR * usual.cpuSeconds()
            + EXTRA_CPU_SECONDS
            + CPU_SECONDS_PER_THOUSAND_ENDPOINTS * thousands);
    addUpperBound(
        report,
        "peak_memory_mb",
        scaled.peakMemoryMegabytes(),
        MEMORY_FACTOR * usual.peakMemoryMegabytes()
            + EXTRA_MEMORY_MEGABYTES
            + MEMORY_MEGABYTES_PER_THOUSAND * thousands);
    addUpperBound(
        report,
        "peak_descriptors",
        scaled.peakDescriptors(),
        DESCRIPTOR_FACTOR * usual.peakDescriptors() + EXTRA_DESCRIPTORS);
    addUpperBound(
        report,
        "cache_connections",
        (double) scaled.cacheConnections(),
        CONNECTION_FACTOR * usual.cacheConnections() + EXTRA_CONNECTIONS);
    addUpperBound(
        report,
        "discovery_bytes",
        (double) scaled.discoveryBytes(),
        DISCOVERY_FACTOR * usual.discoveryBytes()
            + EXTRA_DISCOVERY_BYTES
            + DISCOVERY_BYTES_PER_THOUSAND * thousands);
    double minShareServed = MIN_SERVED_FACTOR * usual.shareServed();
    report
        .figure("least_share_served", rounded(minShareServed))
        .bar("share_served", scaled.shareServed() >= minShareServed - ROUNDING_TOLERANCE);
  }

  private static void addUpperBound(
      ExperimentReport report, String name, double value, double bound) {
    report.figure("most_" + name, rounded(bound)).bar(name, value <= bound + ROUNDING_TOLERANCE);
  }

  static double rounded(double value) {
    return Math.round(value * 1000) / 1000.0;
  }
}
