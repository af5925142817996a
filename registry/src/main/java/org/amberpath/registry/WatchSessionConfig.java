package org.amberpath.registry;

/**
 * Configuration of a {@link WatchSession}.
 *
 * @param endpointCount number of the registry's endpoints
 * @param maxKeys maximum number of keys in the view
 * @param blockingTimeNanos the longest time for which the server holds a blocking read, for a
 *     protocol whose watches are reads that return all keys; 0 for a protocol whose watches stream
 *     changes
 * @param seed seed of all random choices
 */
public record WatchSessionConfig(
    int endpointCount, int maxKeys, long blockingTimeNanos, long seed) {
  /** Whether watches are blocking reads that return all keys. */
  public boolean hasBlockingReads() {
    return blockingTimeNanos > 0;
  }
}
