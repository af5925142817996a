package org.amberpath.gateway.pipeline;

/**
 * The limits on connections to caches.
 *
 * @param maxConnections the maximum number of connections to all caches together
 * @param maxCommandsPerConnection the maximum number of commands in flight on one connection
 * @param connectTimeoutNanos the longest time that a connection attempt may take
 * @param idleTimeoutNanos the time after which an idle connection is closed; well below the cache's
 *     own timeout, so that no request is sent while the cache closes the connection
 * @param maxBodyBytes the maximum length of a body that a cache returns
 * @param maxPartialReplyBytes the maximum bytes of all partially received replies together
 */
public record CacheConnectionConfig(
    int maxConnections,
    int maxCommandsPerConnection,
    long connectTimeoutNanos,
    long idleTimeoutNanos,
    int maxBodyBytes,
    long maxPartialReplyBytes) {
  /**
   * Returns the maximum number of connections to each cache: an equal part of {@link
   * #maxConnections}, at least 1. {@link #maxConnections} limits the total all the same.
   *
   * @param caches the number of caches that share the connections
   */
  public int maxConnectionsPerCache(int caches) {
    return Math.max(1, maxConnections / Math.max(1, caches));
  }
}
