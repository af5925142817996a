package org.amberpath.routing;

/**
 * An endpoint as it is listed to the router.
 *
 * @param index the number under which the gateway's socket side knows it
 * @param id stable, the same at all gateways
 * @param zone the zone that it stands in
 * @param kind what it is listed as, which decides its role
 * @param cell the shelf or rack, 0 where none is listed
 * @param state whether it takes attempts and fills
 * @param weight its size, in the unit of the configuration
 * @param startedAtNanos when it started without copies, 0 for long ago
 */
public record EndpointDescription(
    int index,
    String id,
    String zone,
    String kind,
    int cell,
    EndpointState state,
    double weight,
    long startedAtNanos) {}
