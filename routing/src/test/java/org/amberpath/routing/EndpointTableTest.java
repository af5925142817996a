package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.ORIGIN;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointTableTest {
  private final RoutingParts parts = new RoutingParts();
  private final EndpointTable table = parts.endpoints;

  @Test
  void endpointsAreGroupedByRoleAndZone() {
    assertEquals(
        List.of(0, 1, 2, 3),
        Arrays.stream(table.zoneEdges()).map(endpoint -> endpoint.index).toList());
    assertEquals(
        List.of(5, 6), Arrays.stream(table.parents()).map(endpoint -> endpoint.index).toList());
    assertEquals(ORIGIN, table.origin().index);
    assertEquals(5, table.upEdgeCount(), "edge caches of all zones");
    parts.update(4, EndpointState.DRAINING, 0);
    parts.update(ORIGIN, EndpointState.GONE, 0);
    table.rebuild();
    assertEquals(4, table.upEdgeCount());
    assertNull(table.origin());
  }

  @Test
  void goneEndpointIsDroppedAndItsIndexMayBeReused() {
    Endpoint before = table.get(1);
    parts.update(1, EndpointState.GONE, 0);
    table.rebuild();
    assertNull(table.get(1));
    assertNotEquals(before, table.getOrAdd(1, "10.9.9.9:90"));
    assertNotEquals(before.hash, table.get(1).hash);
  }
}
