package org.amberpath.gateway.cache;

import java.util.function.IntSupplier;

/**
 * The bounds of one {@link CachePool}.
 *
 * @param maxConnections how many connections it may hold now
 * @param maxCommandsPerConnection how many commands may be in flight on one
 * @param connectTimeoutNanos how long a connect may take
 * @param idleTimeoutNanos after how long an idle connection is closed
 * @param maxBodyBytes the longest body that is accepted
 */
public record PoolBounds(
    IntSupplier maxConnections,
    int maxCommandsPerConnection,
    long connectTimeoutNanos,
    long idleTimeoutNanos,
    int maxBodyBytes) {}
