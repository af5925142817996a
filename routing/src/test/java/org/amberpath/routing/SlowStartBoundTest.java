package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that all gateways together, whatever their number, send a recently started endpoint no more
 * requests in any overload window than the number above which it is overloaded. Time is virtual,
 * and demand exceeds what the endpoint can serve.
 */
class SlowStartBoundTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long STEP_NANOS = 10 * NANOS_PER_MILLI;
  private static final long SECOND_NANOS = 1000 * NANOS_PER_MILLI;
  private static final long OVERLOAD_WINDOW_NANOS = SECOND_NANOS;
  private static final long WARM_UP_NANOS = 30 * SECOND_NANOS;
  private static final long WORK_PER_REQUEST_NANOS = 100 * NANOS_PER_MILLI;
  private static final double INITIAL_FRACTION = 0.2;
  private static final int STARTED_EDGE = 0;
  private static final int WARM_EDGE = 1;
  private static final int PARENT = 2;
  private static final int ORIGIN = 3;

  private long latencyObjectiveNanos = WORK_PER_REQUEST_NANOS;
  private long nowNanos = 1000 * SECOND_NANOS;
  private long startedAtNanos;
  private long lastRequestId;
  private double weight = 4;
  private double warmWeight = 400;
  private int startedEndpoint = STARTED_EDGE;
  private int lastSeed;
  private int attemptsAtStartedEndpoint;
  private boolean hasWarmPeers;
  private boolean everyRequestMisses;
  private final List<SimulatedGateway> gateways = new ArrayList<>();
  private final List<Long> sentInWindowNanos = new ArrayList<>();

  @ParameterizedTest
  @CsvSource({
    "1, 4", "2, 4", "10, 4", "40, 4", "100, 4", "1, 40", "2, 40", "10, 40", "40, 40", "100, 40"
  })
  void boundHoldsWhenAllGatewaysLearnOfTheStart(int gatewayCount, double endpointWeight) {
    weight = endpointWeight;
    startGateways(gatewayCount);
    startEndpoint();
    runFor(4 * SECOND_NANOS, 3);
    assertTrue(
        attemptsAtStartedEndpoint
            >= 4
                * 3
                * INITIAL_FRACTION
                * weight
                * OVERLOAD_WINDOW_NANOS
                / WORK_PER_REQUEST_NANOS
                / 3,
        "a third of the bound must be used, sent " + attemptsAtStartedEndpoint);
  }

  /**
   * While warm peers serve most of the requests, a gateway with few requests may use its share of
   * the budget at any time: its credit does not lapse.
   */
  @Test
  void infrequentRequestsDoNotWaitWhileWarmPeersServeTheRest() {
    hasWarmPeers = true;
    warmWeight = weight;
    startGateways(100);
    startEndpoint();
    runFor(10 * SECOND_NANOS, 0);
    int turns = 400;
    for (int turn = 0; turn < turns; turn++, nowNanos += 50 * NANOS_PER_MILLI) {
      gateways.get(turn % gateways.size()).runTurn(10);
      assertWithinBound();
    }
    assertTrue(attemptsAtStartedEndpoint >= turns * 3 / 4, "sent " + attemptsAtStartedEndpoint);
  }

  @ParameterizedTest
  @CsvSource({
    "1, 300",
    "2, 300",
    "10, 300",
    "40, 300",
    "100, 300",
    "1, 1500",
    "2, 1500",
    "10, 1500",
    "40, 1500",
    "100, 1500"
  })
  void boundHoldsWhenGatewaysRestartAndForgetWhatTheySent(
      int gatewayCount, int restartAfterMillis) {
    weight = 40;
    startGateways(gatewayCount);
    startEndpoint();
    runFor(restartAfterMillis * NANOS_PER_MILLI, 3);
    gateways.clear();
    startGateways(gatewayCount);
    runFor(3 * SECOND_NANOS, 3);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 10, 40, 100})
  void boundHoldsWithALatencyObjectiveFarBelowTheMeanWork(int gatewayCount) {
    latencyObjectiveNanos = WORK_PER_REQUEST_NANOS / 10;
    startedAtNanos = nowNanos - SECOND_NANOS;
    startGateways(gatewayCount);
    runFor(3 * SECOND_NANOS, 3);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 10, 40, 100})
  void boundHoldsAcrossNewEndpointLists(int gatewayCount) {
    startGateways(gatewayCount);
    startEndpoint();
    for (int round = 0; round < 10; round++) {
      runFor(150 * NANOS_PER_MILLI, 3);
      gateways.forEach(gateway -> gateway.listEndpoints(EndpointListKind.FULL));
    }
    runFor(SECOND_NANOS, 3);
  }

  @ParameterizedTest
  @CsvSource({
    "1, 1", "2, 1", "10, 1", "40, 1", "100, 1", "1, 4", "2, 4", "10, 4", "40, 4", "100, 4", "100, 8"
  })
  void boundHoldsWhenDemandBeginsLate(int gatewayCount, double endpointWeight) {
    weight = endpointWeight;
    startGateways(gatewayCount);
    startEndpoint();
    runFor(5 * SECOND_NANOS, 0);
    runFor(3 * SECOND_NANOS, 3);
  }

  @ParameterizedTest
  @CsvSource({
    "1, false",
    "2, false",
    "10, false",
    "40, false",
    "100, false",
    "1, true",
    "2, true",
    "10, true",
    "40, true",
    "100, true"
  })
  void boundHoldsForAParentUnderFills(int gatewayCount, boolean afterHits) {
    weight = 40;
    startedEndpoint = PARENT;
    hasWarmPeers = true;
    startGateways(gatewayCount);
    if (afterHits) {
      runFor(3 * SECOND_NANOS, 3);
    }
    everyRequestMisses = true;
    startEndpoint();
    runFor(4 * SECOND_NANOS, 3);
  }

  /** Adds the given number of gateways, and sends the current endpoint list to all gateways. */
  private void startGateways(int gatewayCount) {
    for (int index = 0; index < gatewayCount; index++) {
      gateways.add(new SimulatedGateway(gatewayCount));
    }
    gateways.forEach(gateway -> gateway.listEndpoints(EndpointListKind.FULL));
  }

  private void startEndpoint() {
    startedAtNanos = nowNanos;
    gateways.forEach(gateway -> gateway.listEndpoints(EndpointListKind.CHANGES));
  }

  private void runFor(long durationNanos, int requestsPerStep) {
    for (long end = nowNanos + durationNanos; nowNanos < end; nowNanos += STEP_NANOS) {
      gateways.forEach(
          gateway ->
              gateway.runTurn(
                  requestsPerStep == 0 ? 0 : Math.max(requestsPerStep, 30 / gateways.size())));
      assertWithinBound();
    }
  }

  /**
   * Asserts the bound on the attempts of the last overload window. With n as 3 times (the overload
   * factor) the number of requests that the endpoint serves at its current capacity, the bound is n
   * + 2 * sqrt(n) + 2, or n + 3 * sqrt(n) + 3 if n is below 30.
   */
  private void assertWithinBound() {
    sentInWindowNanos.removeIf(at -> at <= nowNanos - OVERLOAD_WINDOW_NANOS);
    double capacityFraction =
        INITIAL_FRACTION
            + (1 - INITIAL_FRACTION)
                * Math.min(1, Math.max(0, nowNanos - startedAtNanos) / (double) WARM_UP_NANOS);
    double maxRequests =
        3 * capacityFraction * weight * OVERLOAD_WINDOW_NANOS / WORK_PER_REQUEST_NANOS;
    double bound =
        maxRequests < 30
            ? maxRequests + 3 * Math.sqrt(maxRequests) + 3
            : maxRequests + 2 * Math.sqrt(maxRequests) + 2;
    assertTrue(
        startedAtNanos == 0 || sentInWindowNanos.size() <= bound,
        sentInWindowNanos.size()
            + " requests in an overload window, "
            + bound
            + " allowed, "
            + (nowNanos - startedAtNanos) / NANOS_PER_MILLI
            + " ms after the start");
  }

  /**
   * A gateway with its own router, whose attempts end after 50 ms: with a hit, with a fill, or
   * without a cached copy.
   */
  private final class SimulatedGateway implements RoutingActions {
    private record PendingResponse(
        long dueAtNanos, long requestId, int endpoint, ResponseDetail detail) {}

    private final RequestRouter router;
    private final List<Consumer<RoutingEventHandler>> pendingEvents = new ArrayList<>();
    private final List<PendingResponse> pendingResponses = new ArrayList<>();
    private long timerAtNanos = Long.MAX_VALUE;

    SimulatedGateway(int gatewayCount) {
      Map<String, Object> config =
          Map.ofEntries(
              Map.entry("seed", (long) ++lastSeed),
              Map.entry("gateways", gatewayCount),
              Map.entry("gatewaysInZone", gatewayCount),
              Map.entry("zone", "z"),
              Map.entry("parentKind", Optional.of("parent")),
              Map.entry("originKind", Optional.of("origin")),
              Map.entry("weightIsSize", true),
              Map.entry("trafficClassCount", 1),
              Map.entry(
                  "trafficClass",
                  new TrafficClassConfig(
                      Idempotency.IDEMPOTENT,
                      IdempotencyScope.ALL,
                      0,
                      latencyObjectiveNanos,
                      2,
                      1,
                      false,
                      0,
                      0)),
              Map.entry("retries", new RetryConfig(1, false, false, false, 0)),
              Map.entry("transferKilobytesPerSecond", 1000.0),
              Map.entry("edgeSlowStart", new SlowStartConfig(INITIAL_FRACTION, WARM_UP_NANOS, 3)),
              Map.entry("parentSlowStart", new SlowStartConfig(INITIAL_FRACTION, WARM_UP_NANOS, 3)),
              Map.entry("overloadWindowNanos", OVERLOAD_WINDOW_NANOS));
      router =
          new RequestRouter(
              (RoutingConfig)
                  Proxy.newProxyInstance(
                      getClass().getClassLoader(),
                      new Class<?>[] {RoutingConfig.class},
                      (proxy, method, arguments) ->
                          config.getOrDefault(
                              method.getName(),
                              method.getReturnType() == boolean.class
                                  ? (Object) false
                                  : (Object) 0L)));
    }

    void listEndpoints(EndpointListKind kind) {
      pendingEvents.add(to -> to.endpointListStarted(kind));
      long startedNanos = startedAtNanos;
      pendingEvents.add(
          to ->
              to.endpointListed(
                  new EndpointDescription(
                      STARTED_EDGE,
                      "10.0.0.1:9",
                      "z",
                      "box",
                      0,
                      EndpointState.UP,
                      weight,
                      startedEndpoint == STARTED_EDGE ? startedNanos : 0)));
      if (hasWarmPeers) {
        pendingEvents.add(
            to ->
                to.endpointListed(
                    new EndpointDescription(
                        WARM_EDGE, "10.0.0.2:9", "z", "box", 0, EndpointState.UP, warmWeight, 0)));
        pendingEvents.add(
            to ->
                to.endpointListed(
                    new EndpointDescription(
                        PARENT,
                        "10.0.0.3:9",
                        "hub",
                        "parent",
                        0,
                        EndpointState.UP,
                        weight,
                        startedEndpoint == PARENT ? startedNanos : 0)));
        pendingEvents.add(
            to ->
                to.endpointListed(
                    new EndpointDescription(
                        ORIGIN, "10.0.0.4:9", "hub", "origin", 0, EndpointState.UP, 400, 0)));
      }
      pendingEvents.add(RoutingEventHandler::endpointListCompleted);
    }

    void runTurn(int requests) {
      for (PendingResponse response : List.copyOf(pendingResponses)) {
        if (response.dueAtNanos <= nowNanos) {
          pendingResponses.remove(response);
          boolean hasCopy = response.detail != ResponseDetail.NONE;
          pendingEvents.add(
              to ->
                  to.attemptEnded(
                      new AttemptResult(
                          response.requestId,
                          0,
                          response.endpoint,
                          hasCopy ? AttemptOutcome.SUCCEEDED : AttemptOutcome.NOT_CACHED,
                          50 * NANOS_PER_MILLI,
                          hasCopy,
                          response.detail)));
        }
      }
      if (timerAtNanos <= nowNanos) {
        timerAtNanos = Long.MAX_VALUE;
        pendingEvents.add(to -> to.timerFired("sweep"));
      }
      for (int index = 0; index < requests; index++) {
        long id = ++lastRequestId;
        pendingEvents.add(
            to ->
                to.requestReceived(
                    new RequestDetails(id, 0, id % 1009, 9, 0, 2 * SECOND_NANOS, 100, false)));
      }
      List<Consumer<RoutingEventHandler>> batch = List.copyOf(pendingEvents);
      pendingEvents.clear();
      router.decide(nowNanos, to -> batch.forEach(event -> event.accept(to)), this);
    }

    @Override
    public void sendAttempt(AttemptCommand command) {
      boolean needsFill = everyRequestMisses && command.source() != command.endpoint();
      if (command.endpoint() == startedEndpoint
          || (needsFill && command.source() == startedEndpoint)) {
        sentInWindowNanos.add(nowNanos);
        attemptsAtStartedEndpoint++;
      }
      pendingResponses.add(
          new PendingResponse(
              nowNanos + 50 * NANOS_PER_MILLI,
              command.requestId(),
              command.endpoint(),
              needsFill
                  ? ResponseDetail.FILLED
                  : everyRequestMisses ? ResponseDetail.NONE : ResponseDetail.HIT));
    }

    @Override
    public void reject(long requestId, long retryAfterNanos) {}

    @Override
    public void fail(long requestId) {}

    @Override
    public void cancelAttempt(long requestId, int attempt) {}

    @Override
    public void scheduleTimer(long delayNanos, String handle) {
      timerAtNanos = nowNanos + delayNanos;
    }

    @Override
    public void subscribeEndpoints() {}
  }
}
