package org.amberpath.routing;

/**
 * An endpoint as it is listed to the router.
 *
 * @param index the index under which actions and events identify the endpoint
 * @param id stable id, the same at all gateways
 * @param zone the zone that the endpoint belongs to
 * @param kind the kind under which the endpoint is listed, which determines its role
 * @param cell number of the shelf or rack; 0 if none is listed
 * @param state whether the endpoint accepts attempts and fills
 * @param weight the endpoint's size, in the unit of the configuration
 * @param startedAtNanos when the endpoint started with an empty cache; 0 if it has long been
 *     running
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
