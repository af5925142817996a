package org.amberpath.gateway;

/**
 * What an installation has beside the platform's own: another source of news of caches, and
 * knowledge of the other gateways. Null where there is none.
 */
public record GatewayExtensions(EndpointSource.Maker news, FleetCoordinator.Maker company) {
  public static final GatewayExtensions NOTHING = new GatewayExtensions(null, null);
}
