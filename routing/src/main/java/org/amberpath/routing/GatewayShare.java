package org.amberpath.routing;

/**
 * This gateway's share of what all gateways use: by the configured number of gateways or, where the
 * fleet has more, by the fleet's. Guards limits against more gateways than are configured, all of
 * which may be in this zone.
 */
final class GatewayShare {
  private final RoutingConfig config;
  private int gatewaysInZone;
  private int gatewaysInAll;
  private boolean granted = true;

  /** The share by the configured numbers. */
  GatewayShare(RoutingConfig config) {
    this.config = config;
    gatewaysInZone = Math.max(1, config.gatewaysInZone());
    gatewaysInAll = Math.max(1, config.gateways());
  }

  /** The fleet has counted its gateways, and granted this one a share or none. */
  void update(int gateways, boolean isGranted) {
    int extraGateways = Math.max(0, gateways - Math.max(1, config.gateways()));
    gatewaysInAll = Math.max(1, config.gateways()) + extraGateways;
    gatewaysInZone = Math.max(1, config.gatewaysInZone()) + extraGateways;
    granted = isGranted;
  }

  /** How many gateways serve the zone, this one too. */
  int gatewaysInZone() {
    return gatewaysInZone;
  }

  /** How many gateways there are in all zones. */
  int gatewaysInAll() {
    return gatewaysInAll;
  }

  /** Whether other gateways serve the zone. */
  boolean isZoneShared() {
    return gatewaysInZone > 1;
  }

  /** Whether this gateway has a share at all. */
  boolean isGranted() {
    return granted;
  }

  /**
   * This gateway's share of an endpoint of that role, 0 to 1: a zone shares its edge caches, all
   * zones share the others.
   */
  double fractionOf(Endpoint.Role role) {
    return granted ? 1.0 / (role == Endpoint.Role.EDGE ? gatewaysInZone : gatewaysInAll) : 0;
  }
}
