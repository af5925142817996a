package org.amberpath.routing;

/**
 * An endpoint as discovery lists it.
 *
 * @param id stable; the same id after {@link EndpointState#GONE} is another endpoint
 * @param address IP address and port; empty for the one that is known
 * @param zone the zone that it stands in
 * @param kind what it is listed as, which decides its role
 * @param cell the shelf or rack, 0 where none is listed
 * @param state whether it takes attempts and fills
 * @param weight its size, in the unit of the configuration; 1 where none is listed
 * @param startedAtMillis when it started without copies, in Unix milliseconds, 0 for long ago
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
