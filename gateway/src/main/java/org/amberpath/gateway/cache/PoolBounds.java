package org.amberpath.gateway.cache;

import java.util.function.IntSupplier;

/**
 * The bounds of one {@link CachePool}.
 *
 * @param maxConnections supplies the maximum number of connections at the time of the call
 * @param maxCommandsPerConnection maximum number of commands in flight on one connection
 * @param connectTimeoutNanos connect timeout in nanoseconds
 * @param idleTimeoutNanos idle time in nanoseconds after which a connection is closed
 * @param maxBodyBytes maximum length in bytes of a reply's body
 */
public record PoolBounds(
    IntSupplier maxConnections,
    int maxCommandsPerConnection,
    long connectTimeoutNanos,
    long idleTimeoutNanos,
    int maxBodyBytes) {}
