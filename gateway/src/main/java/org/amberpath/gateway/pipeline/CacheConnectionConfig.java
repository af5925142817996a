package org.amberpath.gateway.pipeline;

/**
 * The bounds on connections to caches.
 *
 * @param maxConnections how many connections all caches together may have
 * @param maxCommandsPerConnection how many commands may be in flight on one
 * @param connectTimeoutNanos how long a connect may take
 * @param idleTimeoutNanos after how long an idle connection is closed: well before the cache closes
 *     it, so that no request crosses that
 * @param maxBodyBytes the longest body that a cache returns
 */
public record CacheConnectionConfig(
    int maxConnections,
    int maxCommandsPerConnection,
    long connectTimeoutNanos,
    long idleTimeoutNanos,
    int maxBodyBytes) {
  /**
   * How many connections each of so many caches may have: one at least, though all of them together
   * may not hold more than {@link #maxConnections}.
   */
  public int maxConnectionsPerCache(int caches) {
    return Math.max(1, maxConnections / Math.max(1, caches));
  }
}
