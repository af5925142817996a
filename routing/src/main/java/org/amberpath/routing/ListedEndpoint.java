package org.amberpath.routing;

/**
 * An endpoint as discovery lists it.
 *
 * @param id stable id; an id that is listed again after {@link EndpointState#GONE} denotes a
 *     different endpoint
 * @param address IP address and port; empty if the address has not changed
 * @param zone the zone that the endpoint belongs to
 * @param kind the kind under which the endpoint is listed, which determines its role
 * @param cell number of the shelf or rack; 0 if none is listed
 * @param state whether the endpoint accepts attempts and fills
 * @param weight the endpoint's size, in the unit of the configuration; 1 if none is listed
 * @param startedAtMillis when the endpoint started with an empty cache, in Unix milliseconds; 0 if
 *     it has long been running
 */
public record ListedEndpoint(
    String id,
    String address,
    String zone,
    String kind,
    int cell,
    EndpointState state,
    double weight,
    long startedAtMillis) {}
