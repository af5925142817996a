package org.amberpath.routing;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * An endpoint as discovery lists it.
 *
 * @param id stable id; an id that is listed again after {@link EndpointState#GONE} denotes a
 *     different endpoint
 * @param address IP address and port; empty if the address has not changed
 * @param zone the zone that the endpoint belongs to
 * @param kind the kind under which the endpoint is listed, which determines its role
 * @param cell number of the shelf or rack; empty if none is listed
 * @param state whether the endpoint accepts attempts and fills
 * @param weight the endpoint's size, in the unit of the configuration; empty if none is listed
 * @param startedAtMillis when the endpoint started with an empty cache, in Unix milliseconds; 0 if
 *     it has long been running
 */
public record ListedEndpoint(
    String id,
    String address,
    String zone,
    String kind,
    OptionalInt cell,
    EndpointState state,
    OptionalDouble weight,
    long startedAtMillis) {
  /** The cell of an endpoint for which none is listed. */
  public static final int DEFAULT_CELL = 0;

  /** The weight of an endpoint for which none is listed. */
  public static final double DEFAULT_WEIGHT = 1;

  /** Returns this endpoint at another address, in another state. */
  ListedEndpoint withAddressAndState(String newAddress, EndpointState newState) {
    return new ListedEndpoint(id, newAddress, zone, kind, cell, newState, weight, startedAtMillis);
  }

  /** Returns this endpoint with another start time in Unix milliseconds; 0 for long ago. */
  public ListedEndpoint withStartedAtMillis(long newStartedAtMillis) {
    return new ListedEndpoint(id, address, zone, kind, cell, state, weight, newStartedAtMillis);
  }
}
