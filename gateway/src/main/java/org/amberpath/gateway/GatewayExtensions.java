package org.amberpath.gateway;

/**
 * What a deployment adds to the platform's own parts.
 *
 * @param endpointSource creates a second source of endpoints; null where there is none
 * @param fleetCoordinator creates the link to the other gateways; null where there is none
 */
public record GatewayExtensions(
    EndpointSource.Factory endpointSource, FleetCoordinator.Factory fleetCoordinator) {
  /** No extensions: the journal alone, and no knowledge of other gateways. */
  public static final GatewayExtensions NONE = new GatewayExtensions(null, null);
}
