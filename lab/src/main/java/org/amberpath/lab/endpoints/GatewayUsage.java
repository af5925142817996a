package org.amberpath.lab.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one gateway needed over an experiment at one number of endpoints.
 *
 * @param endpoints caches and parents that were listed at once
 * @param cpuSeconds of the process, from its start to the last answer
 * @param peakMemoryMegabytes most resident memory
 * @param peakDescriptors most open descriptors at a sample
 * @param cacheConnections connections that caches accepted
 * @param discoveryBytes of answers from the journal after the list of the start
 * @param shareServed requests returned, of those that were to be sent
 */
public record GatewayUsage(
    int endpoints,
    double cpuSeconds,
    double peakMemoryMegabytes,
    int peakDescriptors,
    long cacheConnections,
    long discoveryBytes,
    double shareServed) {
  /** For a report, each figure under its name. */
  public Map<String, Object> figures() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("endpoints", endpoints);
    figures.put("cpu_s", cpuSeconds);
    figures.put("peak_memory_mb", peakMemoryMegabytes);
    figures.put("peak_descriptors", peakDescriptors);
    figures.put("cache_connections", cacheConnections);
    figures.put("discovery_bytes", discoveryBytes);
    figures.put("share_served", shareServed);
    return figures;
  }
}
