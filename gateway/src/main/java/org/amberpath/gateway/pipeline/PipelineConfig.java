package org.amberpath.gateway.pipeline;

import org.amberpath.gateway.settings.JsonRoutingConfig;

/**
 * The settings of a gateway's request pipeline.
 *
 * @param routing the settings of the router
 * @param usesJournal whether the journal is polled for endpoints and purges
 * @param discoveryGraceNanos the time within which a drain or a purge has to take effect
 * @param maxInFlight the maximum number of unanswered requests of clients
 * @param maxRequestBodyBytes the maximum length of the bodies of all requests in flight together
 * @param maxClientConnections the maximum number of client connections
 * @param caches the limits on connections to caches
 */
public record PipelineConfig(
    JsonRoutingConfig routing,
    boolean usesJournal,
    long discoveryGraceNanos,
    int maxInFlight,
    long maxRequestBodyBytes,
    int maxClientConnections,
    CacheConnectionConfig caches) {}
