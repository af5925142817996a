package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Objects;
import java.util.stream.LongStream;
import org.amberpath.routing.InFlightRequest.Purpose;
import org.junit.jupiter.api.Test;

class SyntheticRouteSelectorTest {
  private final RoutingParts parts = new RoutingParts();

  private Route prefetch(long object) {
    InFlightRequest request = parts.request(object);
    request.purpose = Purpose.PREFETCH;
    return parts.syntheticRoutes.selectPrefetch(request, START);
  }

  @Test
  void healthCheckGoesToAnEdgeCacheForCachedCopiesOnly() {
    Route route = parts.syntheticRoutes.selectHealthCheck(parts.request(5), 1, START);
    assertEquals(new Route(parts.endpoint(1), null, true), route);
    assertNull(
        parts.syntheticRoutes.selectHealthCheck(parts.request(5), 5, START),
        "endpoint 5 is a parent");
    assertNull(
        parts.syntheticRoutes.selectHealthCheck(parts.request(5), 99, START),
        "endpoint 99 is unknown");
  }

  @Test
  void prefetchGoesOnlyToTheWarmingEdgeCacheOfItsKey() {
    assertNull(prefetch(5), "all endpoints are warm");
    parts.update(1, EndpointState.UP, START);
    Route route =
        LongStream.range(0, 50)
            .mapToObj(this::prefetch)
            .filter(Objects::nonNull)
            .findFirst()
            .orElse(null);
    assertNotNull(route);
    assertEquals(parts.endpoint(1), route.endpoint());
    assertEquals(Endpoint.Role.PARENT, route.source().role);
  }

  @Test
  void nonIdempotentSyntheticRequestHasNoRoute() {
    parts.configure(Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL);
    assertNull(parts.syntheticRoutes.selectHealthCheck(parts.request(5), 1, START));
  }
}
