package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests how many requests many gateways together send an endpoint in slow start, each gateway by
 * its share.
 */
class FleetShareTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  /** Each of the 100 gateways has a share of the budget that is less than one request. */
  @Test
  void oneHundredGatewaysTogetherUseAndStayWithinTheSlowStartBudget() {
    int sent = 0;
    for (int gatewayIndex = 0; gatewayIndex < 100; gatewayIndex++) {
      FakeHost gatewayHost = new FakeHost();
      gatewayHost.gatewaysInZone = 100;
      gatewayHost.seed = gatewayIndex;
      gatewayHost.listEndpoints();
      IntStream.range(1, 4)
          .forEach(cache -> gatewayHost.changeEndpoint(cache, EndpointState.GONE, 0));
      gatewayHost.changeEndpoint(0, EndpointState.UP, gatewayHost.nowNanos);
      for (long id = 1; id <= 40; id++) {
        gatewayHost.request(id, id, 0);
        gatewayHost.advanceMillis(50);
      }
      sent += gatewayHost.sentAttempts.size();
    }
    // The capacity rises from 0.1 to 0.28 of a weight of 4; times an overload factor of 3, for 2 s:
    // 4.5 s of work, which is 45 requests of 0.1 s each.
    assertTrue(sent >= 5 && sent <= 30, "sent " + sent);
  }

  /**
   * Returns how many attempts the gateways together send an endpoint in slow start within 2 s.
   *
   * @param gateways number of gateways that send requests
   * @param configuredGateways number of gateways in the zone by the configuration
   * @param share the share granted to each gateway, 0 to 1; negative if the fleet reports none, so
   *     that the configured number applies
   */
  private static int countAttemptsInSlowStart(int gateways, int configuredGateways, double share) {
    int sent = 0;
    for (int gatewayIndex = 0; gatewayIndex < gateways; gatewayIndex++) {
      FakeHost gatewayHost = new FakeHost();
      gatewayHost.gatewaysInZone = configuredGateways;
      gatewayHost.seed = gatewayIndex;
      gatewayHost.listEndpoints();
      IntStream.range(1, 4)
          .forEach(cache -> gatewayHost.changeEndpoint(cache, EndpointState.GONE, 0));
      if (share >= 0) {
        gatewayHost.deliver(
            to ->
                to.gatewayShareChanged(
                    3 * configuredGateways + gateways - configuredGateways, share));
      }
      gatewayHost.changeEndpoint(0, EndpointState.UP, gatewayHost.nowNanos);
      for (long id = 1; id <= 40; id++) {
        gatewayHost.request(id, id, 0);
        gatewayHost.advanceMillis(50);
      }
      sent += gatewayHost.sentAttempts.size();
    }
    return sent;
  }

  @Test
  void gatewaysBeyondTheConfiguredNumberTogetherStayWithinTheSlowStartBudget() {
    int sentWithoutShare = countAttemptsInSlowStart(60, 10, -1);
    int sentWithShare = countAttemptsInSlowStart(60, 10, 1.0 / 80);
    assertTrue(
        sentWithoutShare >= 60 && sentWithShare <= 30,
        "sent without a granted share " + sentWithoutShare + ", with one " + sentWithShare);
  }

  @Test
  void gatewayWithoutAShareSendsAnEndpointInSlowStartOneRequestAtMost() {
    assertTrue(countAttemptsInSlowStart(10, 10, 0) <= 10);
    host.listEndpoints().deliver(to -> to.gatewayShareChanged(9, 0));
    host.deliver(to -> to.gatewayShareChanged(9, 1.0 / 9));
    assertNotNull(host.request(5, 0), "with a share it sends again");
  }
}
