package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class GatewayShareTest {
  private final GatewayShare share = new GatewayShare(new FakeHost());

  @Test
  void edgeCachesAreSharedByTheZoneAndOtherEndpointsByAllGateways() {
    assertFalse(share.isZoneShared());
    assertEquals(1, share.fractionOf(Endpoint.Role.EDGE));
    assertEquals(1.0 / 3, share.fractionOf(Endpoint.Role.PARENT));
  }

  @Test
  void gatewaysBeyondTheConfiguredNumberMayAllBeInTheZone() {
    share.update(5, true);
    assertEquals(3, share.gatewaysInZone());
    assertEquals(5, share.gatewaysInAllZones());
    assertTrue(share.isZoneShared());
    share.update(1, true);
    assertEquals(3, share.gatewaysInAllZones(), "never below the configured number");
  }

  @Test
  void gatewayWithoutAGrantHasNoShare() {
    share.update(3, false);
    assertFalse(share.isGranted());
    assertEquals(0, share.fractionOf(Endpoint.Role.EDGE));
  }
}
