package org.amberpath.routing;

import static org.amberpath.routing.RoutingParts.MS;
import static org.amberpath.routing.RoutingParts.ORIGIN;
import static org.amberpath.routing.RoutingParts.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
  private final RoutingParts parts = new RoutingParts();
  private final OutlierDetector detector = parts.detector;
  private final Endpoint endpoint = parts.endpoint(1);

  private void detect(int... unresponsive) {
    for (Endpoint peer : parts.endpoints.zoneEdges()) {
      peer.health.overdueRequests = 0;
      peer.health.lastResponseNanos = START;
    }
    for (int index : unresponsive) {
      parts.endpoint(index).health.overdueRequests = 2;
      parts.endpoint(index).health.lastResponseNanos = START - 700 * MS;
    }
    detector.detectOutliers(parts.endpoints.zoneEdges(), parts.batch(START));
  }

  @Test
  void unresponsiveEndpointWithOverdueRequestsIsEjected() {
    detect(1);
    assertTrue(endpoint.health.isEjected());
    assertEquals(List.of(1), parts.host.suspectEndpoints);
  }

  @Test
  void noEndpointIsEjectedWhileMostPeersAreUnresponsive() {
    detect(0, 1, 2);
    assertFalse(endpoint.health.isEjected());
    assertEquals(List.of(0, 1, 2), parts.host.suspectEndpoints, "but reported as suspect");
  }

  @Test
  void originIsNeverEjected() {
    detector.eject(parts.endpoint(ORIGIN), parts.batch(START));
    assertFalse(parts.endpoint(ORIGIN).health.isEjected());
  }

  @Test
  void responseToARequestSentAfterTheEjectionBeginsProbation() {
    detector.eject(endpoint, parts.batch(START));
    detector.onResponse(endpoint, START - MS, parts.batch(START + MS));
    assertTrue(endpoint.health.isEjected());
    detector.onResponse(endpoint, START + MS, parts.batch(START + 2 * MS));
    assertFalse(endpoint.health.isEjected());
    assertTrue(detector.acceptsKey(endpoint, 0.05, START + 2 * MS));
    assertFalse(detector.acceptsKey(endpoint, 0.1, START + 2 * MS));
  }

  @Test
  void ejectedEndpointGetsOneRequestAtATimeAfterItsBackoffUnlessChecksAreDelegated() {
    detector.eject(endpoint, parts.batch(START));
    assertFalse(detector.acceptsKey(endpoint, 0, START));
    assertTrue(detector.acceptsKey(endpoint, 0, START + 400 * MS));
    assertTrue(detector.permitsHealthCheck(endpoint, START + 400 * MS));
    detector.setDelegated(true);
    assertFalse(detector.acceptsKey(endpoint, 0, START + 400 * MS));
    assertTrue(detector.permitsHealthCheck(endpoint, START + 400 * MS));
    endpoint.limit.inFlight = 1;
    assertFalse(detector.permitsHealthCheck(endpoint, START + 400 * MS));
  }

  @Test
  void negativeHealthReportCountsUnlessAResponseIsNewer() {
    endpoint.health.lastResponseNanos = START - 100 * MS;
    detector.onHealthReport(endpoint.index, false, 200 * MS, parts.batch(START));
    assertFalse(endpoint.health.isEjected());
    detector.onHealthReport(endpoint.index, false, 50 * MS, parts.batch(START));
    assertTrue(endpoint.health.isEjected());
    detector.onHealthReport(endpoint.index, true, 0, parts.batch(START + 500 * MS));
    assertFalse(endpoint.health.isEjected());
  }

  @Test
  void overdueFillCountsAtItsSourceOnlyIfTheEndpointResponds() {
    Attempt attempt = parts.attempt(parts.request(5), 1, 5);
    detector.recountOverdue(List.of(attempt), START + 150 * MS);
    assertEquals(
        List.of(1, 0),
        List.of(endpoint.health.overdueRequests, parts.endpoint(5).health.overdueRequests));
    endpoint.health.lastResponseNanos = START + 140 * MS;
    detector.recountOverdue(List.of(attempt), START + 150 * MS);
    assertEquals(
        List.of(1, 1),
        List.of(endpoint.health.overdueRequests, parts.endpoint(5).health.overdueRequests));
  }
}
