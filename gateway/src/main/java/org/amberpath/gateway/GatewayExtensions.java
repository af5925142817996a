package org.amberpath.gateway;

/**
 * Components that a deployment adds to a gateway.
 *
 * @param endpointSource creates a source of endpoints other than the journal; null for none
 * @param fleetCoordinator creates the coordinator that connects the gateway with its fleet; null
 *     for a gateway without a fleet
 */
public record GatewayExtensions(
    EndpointSource.Factory endpointSource, FleetCoordinator.Factory fleetCoordinator) {
  /** No extensions: the journal is the only source of endpoints, and there is no fleet. */
  public static final GatewayExtensions NONE = new GatewayExtensions(null, null);
}
