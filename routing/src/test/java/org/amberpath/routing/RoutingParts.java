package org.amberpath.routing;

import java.util.SplittableRandom;

/**
 * The components of a router, wired as in {@link RequestRouter}, with the endpoints of {@link
 * FakeHost}; used by tests of single components.
 */
final class RoutingParts {
  static final long MS = 1_000_000L;
  static final long START = 1_000_000 * MS;
  static final int ORIGIN = 7;

  final FakeHost host = new FakeHost();
  TrafficClass trafficClass = new TrafficClass(host.trafficClass(0));
  final ObjectHistory history = new ObjectHistory();
  final GatewayShare share = new GatewayShare(host);
  final EndpointTable endpoints = new EndpointTable(host.zone());
  final SlowStart slowStart = new SlowStart(host, share, new TrafficClass[] {trafficClass});
  final OutlierDetector detector =
      new OutlierDetector(1, endpoints, share, slowStart, new SplittableRandom(1));
  final ConcurrencyLimiter limiter =
      new ConcurrencyLimiter(endpoints, new TrafficClass[] {trafficClass});
  final RetryPolicy retryPolicy = new RetryPolicy(host.retries());
  final RendezvousSelector rendezvous =
      new RendezvousSelector(retryPolicy, detector, limiter, slowStart);
  final RouteSelector routes = new RouteSelector(host, endpoints, rendezvous, limiter, retryPolicy);
  final SyntheticRouteSelector syntheticRoutes =
      new SyntheticRouteSelector(
          endpoints, routes, new SegmentAdmission(history), slowStart, detector, limiter);
  final AttemptRecorder recorder =
      new AttemptRecorder(endpoints, history, limiter, detector, slowStart);
  final ClusterManager cluster =
      new ClusterManager(host, share, endpoints, slowStart, limiter, new SplittableRandom(1));
  private long lastRequestId;

  /**
   * Lists the endpoints, all up and warm: edge caches 0 to 3 in the gateway's zone, edge cache 4 in
   * another zone, parents 5 and 6, and origin 7.
   */
  RoutingParts() {
    cluster.beginList(EndpointListKind.FULL);
    for (int index = 0; index <= ORIGIN; index++) {
      update(index, EndpointState.UP, 0);
    }
    cluster.endList(START);
  }

  /** Sets the traffic class of requests that are created from now on. */
  void configure(Idempotency idempotency, IdempotencyScope scope) {
    host.idempotency = idempotency;
    host.idempotencyScope = scope;
    trafficClass = new TrafficClass(host.trafficClass(0));
  }

  void update(int index, EndpointState state, long startedAtNanos) {
    String kind = index == ORIGIN ? "origin" : index > 4 ? "parent" : "box";
    String zone = index > 4 ? "hub" : index == 4 ? "other" : "here";
    cluster.update(
        new EndpointDescription(
            index, "10.0.0." + index + ":90", zone, kind, index % 2, state, 4, startedAtNanos),
        batch(START));
  }

  Endpoint endpoint(int index) {
    return endpoints.get(index);
  }

  Batch batch(long nowNanos) {
    return new Batch(nowNanos, host);
  }

  /** Creates a request that has two seconds left and a soft timeout of 100 ms. */
  InFlightRequest request(long object) {
    InFlightRequest request =
        new InFlightRequest(
            new RequestDetails(++lastRequestId, 0, object, 9, 0, 2000 * MS, 100, false),
            trafficClass,
            START);
    request.softTimeoutNanos = 100 * MS;
    request.canJudgeLatency = true;
    request.rank = SegmentAdmission.STANDARD_RANK;
    return request;
  }

  /** Creates the next attempt of a request, sent at {@link #START}, and adds it to the request. */
  Attempt attempt(InFlightRequest request, int endpoint, int source) {
    Route route = new Route(endpoint(endpoint), endpoint(source), false);
    Attempt attempt =
        new Attempt(
            request,
            request.attempts.size(),
            route,
            START,
            slowStart.refundableSeconds(route, trafficClass, START));
    request.attempts.add(attempt);
    request.openAttempts++;
    return attempt;
  }
}
