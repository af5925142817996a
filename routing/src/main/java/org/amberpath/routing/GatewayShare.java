package org.amberpath.routing;

/**
 * This gateway's share of what all gateways use. It follows from the configured number of gateways
 * or, if the fleet has more, from the fleet's number. Guards limits against more gateways than are
 * configured, all of which may be in this zone.
 */
final class GatewayShare {
  private final RoutingConfig config;
  private int gatewaysInZone;
  private int gatewaysInAllZones;
  private boolean granted = true;

  /** Creates the share that follows from the configured numbers of gateways. */
  GatewayShare(RoutingConfig config) {
    this.config = config;
    gatewaysInZone = Math.max(1, config.gatewaysInZone());
    gatewaysInAllZones = Math.max(1, config.gateways());
  }

  /** Updates the number of gateways in the fleet and whether this gateway is granted a share. */
  void update(int gateways, boolean isGranted) {
    int extraGateways = Math.max(0, gateways - Math.max(1, config.gateways()));
    gatewaysInAllZones = Math.max(1, config.gateways()) + extraGateways;
    gatewaysInZone = Math.max(1, config.gatewaysInZone()) + extraGateways;
    granted = isGranted;
  }

  /** Returns the number of gateways that serve the zone, including this one. */
  int gatewaysInZone() {
    return gatewaysInZone;
  }

  /** Returns the number of gateways in all zones. */
  int gatewaysInAllZones() {
    return gatewaysInAllZones;
  }

  /** Whether other gateways serve the zone, too. */
  boolean isZoneShared() {
    return gatewaysInZone > 1;
  }

  /** Whether this gateway has a share at all. */
  boolean isGranted() {
    return granted;
  }

  /**
   * Returns this gateway's share of an endpoint of the role, 0 to 1: the gateways of a zone share
   * its edge caches, the gateways of all zones share the other endpoints. 0 while no share is
   * granted.
   */
  double fractionOf(Endpoint.Role role) {
    return granted ? 1.0 / (role == Endpoint.Role.EDGE ? gatewaysInZone : gatewaysInAllZones) : 0;
  }
}
