package org.amberpath.routing;

/**
 * This gateway's part of what all gateways share: by the configured number of gateways or, where
 * the fleet has more, by that. Guards limits against more gateways than are configured, all of
 * which may be in this zone.
 */
final class GatewayShare {
  private final RoutingConfig config;
  private int inZone;
  private int inAll;
  private boolean granted = true;

  /** The share by the configured numbers. */
  GatewayShare(RoutingConfig config) {
    this.config = config;
    inZone = Math.max(1, config.gatewaysInZone());
    inAll = Math.max(1, config.gateways());
  }

  /** The fleet has counted its gateways; also, whether this one may take a part at all. */
  void update(int gateways, boolean mayTake) {
    int beyond = Math.max(0, gateways - Math.max(1, config.gateways()));
    inAll = Math.max(1, config.gateways()) + beyond;
    inZone = Math.max(1, config.gatewaysInZone()) + beyond;
    granted = mayTake;
  }

  /** How many gateways serve the zone, this one too. */
  int gatewaysInZone() {
    return inZone;
  }

  /** How many gateways there are in all zones. */
  int gatewaysInAll() {
    return inAll;
  }

  /** Whether others serve the zone. */
  boolean isZoneShared() {
    return inZone > 1;
  }

  /** Whether this gateway may take anything of what is shared. */
  boolean isGranted() {
    return granted;
  }

  /**
   * This gateway's part of an endpoint of that role, 0 to 1: zones have edge caches, all zones the
   * others.
   */
  double fractionOf(Endpoint.Role role) {
    return granted ? 1.0 / (role == Endpoint.Role.EDGE ? inZone : inAll) : 0;
  }
}
