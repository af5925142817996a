package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Hosts one router under test: provides the configuration, delivers events in batches, runs the
 * virtual clock and the timer, and records the router's actions. Times are nanoseconds, except
 * where a name says milliseconds.
 *
 * <p>Endpoints 0 to 3 are edge caches in the gateway's own zone, 4 is an edge cache in another
 * zone, 5 and 6 are parents, and 7 is the origin. All have a weight of 4.
 */
final class FakeHost implements RoutingConfig, RoutingActions {
  static final long MS = 1_000_000L;

  /** How long a client waits for the response to its request. */
  static final long CLIENT_TIMEOUT_NANOS = 2000 * MS;

  private static final long SYNTHETIC_TIMEOUT_NANOS = 500 * MS;
  private static final int GROUP = 9;
  private static final double RESPONSE_KILOBYTES = 100;

  /**
   * An attempt that the router has sent; the other components are those of {@link AttemptCommand}.
   *
   * @param number number of the attempt within its request, from 0
   */
  record SentAttempt(
      long requestId,
      int number,
      int endpoint,
      long deadlineNanos,
      int source,
      long maxAgeNanos,
      int rank,
      int options) {
    boolean hasOption(int option) {
      return (options & option) != 0;
    }
  }

  Idempotency idempotency = Idempotency.IDEMPOTENT;
  IdempotencyScope idempotencyScope = IdempotencyScope.ALL;

  /**
   * The traffic class's fresh time and its stale grace; 0 for copies that stay fresh until a purge.
   */
  long freshNanos;

  boolean bypassAllowed;
  boolean neverCached;
  boolean weightIsSize = true;
  int gatewaysInZone = 1;
  String kindOfEndpoint0 = "box";
  int seed = 7;
  final List<SentAttempt> sentAttempts = new ArrayList<>();

  /** IDs of the requests that the router rejected. */
  final List<Long> rejectedRequests = new ArrayList<>();

  /** IDs of the requests that the router failed. */
  final List<Long> failedRequests = new ArrayList<>();

  /** Attempts that the router cancelled, as request ID, slash and attempt number. */
  final List<String> cancelledAttempts = new ArrayList<>();

  /**
   * Endpoints whose latest reported status is {@link EndpointHealthStatus#SUSPECT}, in the order of
   * the reports.
   */
  final List<Integer> suspectEndpoints = new ArrayList<>();

  /**
   * The endpoint of each report of {@link EndpointHealthStatus#RESPONSIVE}, in the order of the
   * reports.
   */
  final List<Integer> responsiveReports = new ArrayList<>();

  /** The endpoint of each report that an edge cache warms up, in the order of the reports. */
  final List<Integer> warmUpReports = new ArrayList<>();

  long nowNanos = 1_000_000 * MS;

  /** The latest limit that the router has set for the start of a retry. */
  long retryStartLimitNanos;

  private long lastRequestId;
  private RequestRouter router;
  private final List<Consumer<RoutingEventHandler>> pendingEvents = new ArrayList<>();
  private long timerAtNanos = Long.MAX_VALUE;

  /**
   * Adds a full endpoint list, in the given order, to the next batch; all listed endpoints are up
   * and warm.
   */
  FakeHost listEndpoints(int... order) {
    pendingEvents.add(to -> to.endpointListStarted(EndpointListKind.FULL));
    for (int endpoint : order) {
      pendingEvents.add(to -> listEndpoint(to, endpoint, EndpointState.UP, 0));
    }
    pendingEvents.add(RoutingEventHandler::endpointListCompleted);
    return this;
  }

  /**
   * Replaces the router with a new one for the given traffic class, which knows nothing but the
   * endpoint list.
   */
  void configure(Idempotency idempotency, IdempotencyScope scope, boolean neverCached) {
    this.idempotency = idempotency;
    idempotencyScope = scope;
    this.neverCached = neverCached;
    router = null;
    listEndpoints();
  }

  /** Delivers a full list of all eight endpoints, up and warm. */
  FakeHost listEndpoints() {
    return listEndpoints(0, 1, 2, 3, 4, 5, 6, 7).deliverBatch();
  }

  /**
   * Delivers a list of changes that contains one endpoint.
   *
   * @param startedAtNanos time of the endpoint's start; 0 if it has long been running
   */
  FakeHost changeEndpoint(int endpoint, EndpointState state, long startedAtNanos) {
    pendingEvents.add(to -> to.endpointListStarted(EndpointListKind.CHANGES));
    pendingEvents.add(to -> listEndpoint(to, endpoint, state, startedAtNanos));
    pendingEvents.add(RoutingEventHandler::endpointListCompleted);
    return deliverBatch();
  }

  private void listEndpoint(
      RoutingEventHandler to, int endpoint, EndpointState state, long startedAtNanos) {
    String kind =
        endpoint == 7
            ? "origin"
            : endpoint > 4 ? "parent" : endpoint == 0 ? kindOfEndpoint0 : "box";
    String zone = endpoint > 4 ? "hub" : endpoint == 4 ? "other" : "here";
    to.endpointListed(
        new EndpointDescription(
            endpoint,
            "10.0.0." + endpoint + ":90",
            zone,
            kind,
            endpoint % 2,
            state,
            4,
            startedAtNanos));
  }

  /**
   * Delivers a client's request with the next ID.
   *
   * @return the attempt that was sent for the request; null if none was sent
   */
  SentAttempt request(long object, int part) {
    return request(lastRequestId + 1, object, part);
  }

  /**
   * Delivers a client's request with the given ID.
   *
   * @return the latest attempt of the request; null if none was sent
   */
  SentAttempt request(long id, long object, int part) {
    deliver(to -> to.requestReceived(createDetails(id, object, part, CLIENT_TIMEOUT_NANOS)));
    return lastAttempt(id);
  }

  /**
   * Delivers a client's request and reports that its attempt returned a cached copy after 50 ms;
   * the clock does not advance.
   *
   * @return the attempt
   */
  SentAttempt requestWithHit(long object, int part) {
    SentAttempt attempt = request(object, part);
    succeed(attempt, 50, ResponseDetail.HIT);
    return attempt;
  }

  /**
   * Delivers a synthetic request.
   *
   * @param endpoint the endpoint whose health is checked, or {@link
   *     RoutingEventHandler#NO_ENDPOINT} for a prefetch
   * @return the attempt that was sent for the request; null if none was sent
   */
  SentAttempt syntheticRequest(long object, int part, int endpoint) {
    long id = lastRequestId + 1;
    deliver(
        to ->
            to.syntheticRequestReceived(
                createDetails(id, object, part, SYNTHETIC_TIMEOUT_NANOS), endpoint));
    return lastAttempt(id);
  }

  private RequestDetails createDetails(long id, long object, int part, long timeLeftNanos) {
    lastRequestId = Math.max(lastRequestId, id);
    return new RequestDetails(id, 0, object, GROUP, part, timeLeftNanos, RESPONSE_KILOBYTES, false);
  }

  /** Returns the latest attempt of the request with the highest ID; null if there is none. */
  SentAttempt lastAttempt() {
    return lastAttempt(lastRequestId);
  }

  /** Returns the latest attempt of a request; null if there is none. */
  SentAttempt lastAttempt(long id) {
    return sentAttempts.stream()
        .filter(attempt -> attempt.requestId == id)
        .reduce((earlier, later) -> later)
        .orElse(null);
  }

  /** Reports the end of an attempt; a successful attempt finishes its request. */
  FakeHost endAttempt(
      SentAttempt attempt, AttemptOutcome outcome, long durationMillis, ResponseDetail detail) {
    boolean requestFinished = outcome == AttemptOutcome.SUCCEEDED;
    pendingEvents.add(
        to ->
            to.attemptEnded(
                new AttemptResult(
                    attempt.requestId,
                    attempt.number,
                    attempt.endpoint,
                    outcome,
                    durationMillis * MS,
                    requestFinished,
                    detail)));
    return deliverBatch();
  }

  /** Reports that an attempt has succeeded. */
  FakeHost succeed(SentAttempt attempt, long durationMillis, ResponseDetail detail) {
    return endAttempt(attempt, AttemptOutcome.SUCCEEDED, durationMillis, detail);
  }

  /**
   * Ejects an edge cache through a failed connect, and lets the retry at another endpoint succeed.
   *
   * @return index of the ejected edge cache
   */
  int ejectOneEndpoint() {
    SentAttempt attempt = request(5, 0);
    endAttempt(attempt, AttemptOutcome.CONNECT_FAILED, 1, ResponseDetail.NONE);
    assertEquals(List.of(attempt.endpoint()), suspectEndpoints);
    succeed(lastAttempt(), 50, ResponseDetail.HIT);
    return attempt.endpoint();
  }

  /** Delivers an event to the router, in one batch with the events that were added before it. */
  FakeHost deliver(Consumer<RoutingEventHandler> event) {
    pendingEvents.add(event);
    return deliverBatch();
  }

  @Override
  public void endpointHealthChanged(int endpoint, EndpointHealthStatus health) {
    suspectEndpoints.remove((Integer) endpoint);
    if (health == EndpointHealthStatus.RESPONSIVE) {
      responsiveReports.add(endpoint);
    }
    if (health == EndpointHealthStatus.SUSPECT) {
      suspectEndpoints.add(endpoint);
    }
  }

  @Override
  public void endpointWarmingUp(int endpoint, long untilNanos) {
    warmUpReports.add(endpoint);
  }

  /** Advances the clock and fires the timer each time it is due. */
  FakeHost advanceMillis(long millis) {
    long untilNanos = nowNanos + millis * MS;
    while (timerAtNanos <= untilNanos) {
      nowNanos = timerAtNanos;
      timerAtNanos = Long.MAX_VALUE;
      deliver(to -> to.timerFired("sweep"));
    }
    nowNanos = untilNanos;
    return this;
  }

  /**
   * Delivers the events added since the last batch to the router, which is created if there is
   * none.
   */
  FakeHost deliverBatch() {
    router = router == null ? new RequestRouter(this) : router;
    router.decide(nowNanos, to -> pendingEvents.forEach(event -> event.accept(to)), this);
    pendingEvents.clear();
    return this;
  }

  @Override
  public void sendAttempt(AttemptCommand command) {
    int attemptNumber =
        (int)
            sentAttempts.stream()
                .filter(attempt -> attempt.requestId == command.requestId())
                .count();
    sentAttempts.add(
        new SentAttempt(
            command.requestId(),
            attemptNumber,
            command.endpoint(),
            command.deadlineNanos(),
            command.source(),
            command.maxAgeNanos(),
            command.rank(),
            command.options()));
  }

  @Override
  public void limitRetryStart(long requestId, long latestNanos) {
    retryStartLimitNanos = latestNanos;
  }

  @Override
  public void reject(long requestId, long retryAfterNanos) {
    rejectedRequests.add(requestId);
  }

  @Override
  public void fail(long requestId) {
    failedRequests.add(requestId);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    cancelledAttempts.add(requestId + "/" + attempt);
  }

  @Override
  public void scheduleTimer(long delayNanos, String handle) {
    timerAtNanos = nowNanos + delayNanos;
  }

  @Override
  public void subscribeEndpoints() {}

  @Override
  public long seed() {
    return seed;
  }

  @Override
  public int gateways() {
    return 3 * gatewaysInZone;
  }

  @Override
  public int gatewaysInZone() {
    return gatewaysInZone;
  }

  @Override
  public String zone() {
    return "here";
  }

  @Override
  public Optional<String> parentKind() {
    return Optional.of("parent");
  }

  @Override
  public Optional<String> originKind() {
    return Optional.of("origin");
  }

  @Override
  public boolean weightIsSize() {
    return weightIsSize;
  }

  @Override
  public boolean requiresEndpointSubscription() {
    return false;
  }

  @Override
  public int trafficClassCount() {
    return 1;
  }

  @Override
  public boolean bypassAllowed() {
    return bypassAllowed;
  }

  @Override
  public boolean coalescing() {
    return true;
  }

  @Override
  public double transferKilobytesPerSecond() {
    return 1000;
  }

  @Override
  public long purgeRetentionNanos() {
    return 6000 * MS;
  }

  @Override
  public long overloadWindowNanos() {
    return 1000 * MS;
  }

  @Override
  public TrafficClassConfig trafficClass(int index) {
    return new TrafficClassConfig(
        idempotency,
        idempotencyScope,
        1000 * MS,
        300 * MS,
        2,
        1,
        neverCached,
        freshNanos,
        freshNanos);
  }

  @Override
  public RetryConfig retries() {
    return new RetryConfig(4, true, true, true, 500 * MS);
  }

  @Override
  public SlowStartConfig edgeSlowStart() {
    return new SlowStartConfig(0.1, 10_000 * MS, 3);
  }

  @Override
  public SlowStartConfig parentSlowStart() {
    return new SlowStartConfig(0.1, 10_000 * MS, 2);
  }
}
