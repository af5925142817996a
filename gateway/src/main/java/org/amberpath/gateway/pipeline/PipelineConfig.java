package org.amberpath.gateway.pipeline;

import org.amberpath.gateway.settings.JsonRoutingConfig;

/**
 * The settings of a gateway's pipeline.
 *
 * @param routing the settings of routing
 * @param usesJournal whether endpoints are discovered by the journal
 * @param discoveryGraceNanos within what time a drain or a purge has to be effective
 * @param maxInFlight how many requests may be in flight
 * @param maxClientConnections how many connections clients may hold
 * @param caches the bounds on connections to caches
 */
public record PipelineConfig(
    JsonRoutingConfig routing,
    boolean usesJournal,
    long discoveryGraceNanos,
    int maxInFlight,
    int maxClientConnections,
    CacheConnectionConfig caches) {}
