/**
 * The RESP client for caches. {@link org.amberpath.gateway.cache.CachePool}, the entry point, holds
 * the connections to one cache; each attempt is a {@link org.amberpath.gateway.cache.CacheCommand}.
 * Called by the pipeline on the event loop.
 */
package org.amberpath.gateway.cache;
