package org.amberpath.routing;

/**
 * Where an attempt goes.
 *
 * @param endpoint where it is sent
 * @param source the endpoint that fills a miss; null where nothing is filled
 * @param cachedOnly whether only a copy that is cached already may be returned
 */
record Route(Endpoint endpoint, Endpoint source, boolean cachedOnly) {}
