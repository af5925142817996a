package org.amberpath.routing;

/**
 * The route of one attempt.
 *
 * @param endpoint the endpoint that the attempt is sent to
 * @param source the endpoint that fills a cache miss; null if a miss is not filled
 * @param cachedOnly whether the endpoint may respond only from its cache
 */
record Route(Endpoint endpoint, Endpoint source, boolean cachedOnly) {}
