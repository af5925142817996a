package org.amberpath.gateway.cache;

import java.util.function.IntSupplier;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;

/**
 * The bounds of one {@link CachePool}.
 *
 * @param maxConnections supplies the maximum number of connections at the time of the call
 * @param maxCommandsPerConnection maximum number of commands in flight on one connection
 * @param connectTimeoutNanos connect timeout in nanoseconds
 * @param idleTimeoutNanos idle time in nanoseconds after which a connection is closed
 * @param maxBodyBytes maximum length in bytes of a reply's body
 * @param partialReplies bounds the bytes of partially received replies, shared by all pools
 */
public record PoolBounds(
    IntSupplier maxConnections,
    int maxCommandsPerConnection,
    long connectTimeoutNanos,
    long idleTimeoutNanos,
    int maxBodyBytes,
    ReceiveBufferAccounting partialReplies) {}
