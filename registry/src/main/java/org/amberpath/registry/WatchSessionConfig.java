package org.amberpath.registry;

/**
 * What a watch session is told of its registry.
 *
 * @param endpointCount how many endpoints there are
 * @param maxKeys how many keys are taken at most
 * @param blockingTimeNanos how long a read is held back at most, for a protocol whose watches are
 *     reads that return all keys; 0 for one whose watches bring changes
 * @param seed the seed of all random choices
 */
public record WatchSessionConfig(
    int endpointCount, int maxKeys, long blockingTimeNanos, long seed) {
  /** Whether watches are reads that are held back. */
  public boolean hasBlockingReads() {
    return blockingTimeNanos > 0;
  }
}
