package org.amberpath.lab.fleet;

/**
 * One attempt of a request at a cache.
 *
 * @param gateway the gateway that sent the attempt and receives its result
 * @param attempt the number of the attempt within its request, from 0
 * @param key the requested object and part, as {@link ObjectPopularity#key} encodes them
 * @param cachedOnly whether the cache answers a miss without filling it
 * @param stores whether the cache stores a part that it returns
 * @param source the cache from which a miss is filled
 * @param synthetic whether a fleet task sent the request, so that no client waits for it
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
