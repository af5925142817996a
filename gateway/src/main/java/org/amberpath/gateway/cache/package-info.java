/**
 * RESP to caches. {@link org.amberpath.gateway.cache.CachePool} holds the connections to one cache
 * and is where to begin; each attempt is a {@link org.amberpath.gateway.cache.CacheCommand}. Called
 * by the pipeline, on the event loop.
 */
package org.amberpath.gateway.cache;
