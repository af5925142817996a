package org.amberpath.routing;

import static org.amberpath.routing.FakeHost.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.stream.IntStream;
import org.amberpath.routing.FakeHost.SentAttempt;
import org.junit.jupiter.api.Test;

/**
 * Tests the reports of the gateway that checks ejected endpoints on behalf of all, and the health
 * statuses that are reported to that gateway.
 */
class HealthReportTest {
  private final FakeHost host = new FakeHost().listEndpoints();

  @Test
  void ejectedEndpointIsCheckedOnlyByTheDelegateWhoseReportReadmitsIt() {
    host.deliver(to -> to.gatewayShareChanged(200, 1 / 200.0));
    int ejectedCache = host.ejectOneEndpoint();
    host.deliver(to -> to.healthChecksDelegated(true));
    for (int second = 0; second < 20; second++) {
      host.advanceMillis(1000);
      SentAttempt sent = host.request(5, 0);
      assertNotEquals(
          ejectedCache, sent.endpoint(), "checked by this gateway after " + second + " s");
      host.succeed(sent, 50, ResponseDetail.HIT);
    }
    host.deliver(to -> to.healthReported(ejectedCache, true, 30_000 * MS)).advanceMillis(3000);
    assertEquals(
        List.of(ejectedCache),
        host.suspectEndpoints,
        "a report from before the ejection is ignored");
    host.deliver(to -> to.healthReported(ejectedCache, true, 100 * MS));
    assertEquals(List.of(), host.suspectEndpoints);
    host.advanceMillis(3000);
    assertEquals(ejectedCache, host.requestWithHit(5, 0).endpoint());
  }

  @Test
  void positiveHealthReportIsIgnoredUntilTheBackoffIsOver() {
    int ejectedCache = host.ejectOneEndpoint();
    host.advanceMillis(500).deliver(to -> to.healthReported(ejectedCache, true, 0));
    assertEquals(
        List.of(),
        host.suspectEndpoints,
        "the first report after the backoff readmits the endpoint");
    SentAttempt sent = host.request(5, 0);
    while (sent.endpoint() != ejectedCache) {
      host.succeed(sent, 50, ResponseDetail.HIT).advanceMillis(100);
      sent = host.request(5, 0);
    }
    host.endAttempt(sent, AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    assertEquals(List.of(ejectedCache), host.suspectEndpoints);
    host.deliver(to -> to.healthReported(ejectedCache, true, 0));
    assertEquals(
        List.of(ejectedCache),
        host.suspectEndpoints,
        "the backoff of the second ejection is not over");
  }

  @Test
  void endpointWithOneOverdueRequestIsSuspectUntilItResponds() {
    SentAttempt sent = host.request(5, 0);
    host.advanceMillis(300);
    assertEquals(List.of(), host.suspectEndpoints);
    host.advanceMillis(600);
    assertEquals(List.of(sent.endpoint()), host.suspectEndpoints);
    assertNotNull(host.request(5, 0), "requests are still sent");
    host.succeed(sent, 900, ResponseDetail.HIT);
    assertEquals(List.of(), host.suspectEndpoints);
    assertEquals(List.of(sent.endpoint()), host.responsiveReports);
  }

  @Test
  void negativeHealthReportEjectsUnlessAResponseIsNewerOrMostPeersAreEjected() {
    SentAttempt sent = host.requestWithHit(5, 0);
    host.advanceMillis(1000).deliver(to -> to.healthReported(sent.endpoint(), false, 2000 * MS));
    assertEquals(List.of(), host.suspectEndpoints, "a response is newer");
    host.deliver(to -> to.healthReported(sent.endpoint(), false, 500 * MS));
    assertEquals(List.of(sent.endpoint()), host.suspectEndpoints);
    IntStream.range(0, 4)
        .forEach(cache -> host.deliver(to -> to.healthReported(cache, false, 100 * MS)));
    assertEquals(
        3, host.suspectEndpoints.size(), "no further ejection once most of the four are ejected");
  }
}
