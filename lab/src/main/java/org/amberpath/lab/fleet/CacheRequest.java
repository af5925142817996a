package org.amberpath.lab.fleet;

/**
 * One attempt at a cache.
 *
 * @param cachedOnly whether a miss is not filled
 * @param stores whether the cache keeps what it fills
 * @param synthetic whether no client waits for it
 */
record CacheRequest(
    FleetGateway gateway,
    long requestId,
    int attempt,
    long key,
    boolean cachedOnly,
    boolean stores,
    FleetCache source,
    boolean synthetic) {}
