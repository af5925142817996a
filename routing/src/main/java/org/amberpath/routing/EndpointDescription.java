package org.amberpath.routing;

/**
 * An endpoint as it is listed.
 *
 * @param index the number under which the gateway's socket side knows it
 * @param id stable, the same at all gateways
 * @param kind what it is listed as, which decides its role
 * @param cell the shelf or rack, 0 where none is listed
 * @param weight its size in the site's measure
 * @param startedAtNanos when it started cold, 0 for long ago
 */
record EndpointDescription(
    int index,
    String id,
    String zone,
    String kind,
    int cell,
    EndpointState state,
    double weight,
    long startedAtNanos) {}
