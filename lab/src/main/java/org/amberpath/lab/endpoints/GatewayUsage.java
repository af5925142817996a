package org.amberpath.lab.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The resource usage of one gateway over a measurement at one number of endpoints.
 *
 * @param endpoints how many caches and parents were listed at the same time
 * @param cpuSeconds processor time of the process in seconds, from its start to the last response
 * @param peakMemoryMegabytes the highest resident memory, in MiB
 * @param peakDescriptors the highest number of open descriptors in any sample
 * @param cacheConnections how many connections the caches accepted
 * @param discoveryBytes bytes of journal responses after the list that the settings contain
 * @param shareServed the fraction of scheduled requests that were returned, from 0 to 1
 */
public record GatewayUsage(
    int endpoints,
    double cpuSeconds,
    double peakMemoryMegabytes,
    int peakDescriptors,
    long cacheConnections,
    long discoveryBytes,
    double shareServed) {
  /** Returns each figure under its name in a report. */
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
