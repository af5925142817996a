package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ClusterManagerTest {
  private final RoutingParts parts = new RoutingParts();

  @Test
  void fullListReplacesEndpointsAndChangesAddThem() {
    parts.cluster.beginList(EndpointListKind.CHANGES);
    parts.cluster.endList(START);
    assertEquals(8, parts.endpoints.all().size());
    parts.cluster.beginList(EndpointListKind.FULL);
    parts.update(2, EndpointState.UP, 0);
    parts.cluster.endList(START);
    assertEquals(1, parts.endpoints.all().size());
  }

  @Test
  void restartedEndpointWarmsUpAndIsNoLongerEjected() {
    Endpoint endpoint = parts.endpoint(1);
    parts.detector.eject(endpoint, parts.batch(START));
    parts.update(1, EndpointState.UP, START);
    assertFalse(endpoint.health.isEjected());
    assertEquals(0.1, endpoint.warmUp.capacityFraction(START), 1e-9);
    assertEquals(List.of(1), parts.host.warmUpReports);
    parts.update(1, EndpointState.UP, START - 100 * MS);
    assertEquals(
        List.of(1),
        parts.host.warmUpReports,
        "an earlier start time than the known one is ignored");
  }

  @Test
  void moreGatewaysLowerTheLimitsAtOnce() {
    double previousEdgeLimit = parts.endpoint(0).limit.limit();
    double previousOriginLimit = parts.limiter.originLimit().limit();
    parts.cluster.updateShare(5, true, START);
    assertEquals(previousEdgeLimit / 3, parts.endpoint(0).limit.limit(), 1e-9);
    assertEquals(previousOriginLimit * 3 / 5, parts.limiter.originLimit().limit(), 1e-9);
    parts.cluster.updateShare(5, false, START);
    assertTrue(parts.endpoint(0).limit.limit() < 0.01, "no share is granted");
  }
}
