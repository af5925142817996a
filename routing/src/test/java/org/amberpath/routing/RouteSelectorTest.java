package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.ORIGIN;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RouteSelectorTest {
  private final RoutingParts parts = new RoutingParts();

  private Route route(InFlightRequest request) {
    return parts.routes.select(request, START);
  }

  @Test
  void aRequestGoesToAnEdgeOfTheZoneAndIsFilledThroughAParent() {
    Route route = route(parts.request(5));
    assertTrue(route.endpoint().isEdge());
    assertEquals("here", route.endpoint().zone);
    assertEquals(Endpoint.Role.PARENT, route.source().role);
    assertFalse(route.cachedOnly());
  }

  @Test
  void theOriginFillsWhereNoParentIsUp() {
    parts.update(5, EndpointState.DRAINING, 0);
    parts.update(6, EndpointState.DRAINING, 0);
    assertEquals(parts.endpoint(ORIGIN), route(parts.request(5)).source());
  }

  @Test
  void pastTheUplinksLimitOnlyCachedCopiesAreReturned() {
    parts.limiter.uplinkLimit().inFlight = 1000;
    Route route = route(parts.request(5));
    assertNull(route.source());
    assertTrue(route.cachedOnly());
  }

  @Test
  void whatIsNeverCachedGoesStraightToTheSourceWhereTheSiteAllowsIt() {
    InFlightRequest request = parts.request(5);
    request.uncacheable = true;
    assertTrue(route(request).endpoint().isEdge());
    parts.site.bypass = true;
    assertEquals(Endpoint.Role.PARENT, route(request).endpoint().role);
  }

  @Test
  void thereIsNoRouteWhereTheEffectMightComeTwice() {
    parts.configure(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL);
    InFlightRequest request = parts.request(5);
    request.recordExecuted(parts.attempt(request, 0, 5));
    assertNull(route(request));
  }
}
