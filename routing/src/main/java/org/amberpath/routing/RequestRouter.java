package org.amberpath.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.amberpath.routing.InFlightRequest.Purpose;

/**
 * Decides, for one gateway, where each request is returned from, filled from and cached. {@link
 * #decide} takes a batch of all events that came in and writes the actions that follow from them,
 * in order. {@link RoutingConfig} is the configuration; there is no I/O, and the only clock is the
 * batch's time, in nanoseconds.
 *
 * <p>The ordinary path of a request is {@link #requestReceived}: {@link SegmentAdmission} says
 * whether its answer is cached, {@link RouteSelector} where it goes. What departs from that path
 * lies in {@link OutlierDetector}, {@link SlowStart}, {@link ConcurrencyLimiter} and {@link
 * RetryPolicy}. The design is docs/design.md.
 */
public final class RequestRouter implements RoutingEventHandler {
  private static final long SWEEP_INTERVAL_NANOS = 20_000_000L;
  private static final String SWEEP_HANDLE = "sweep";

  private final RoutingConfig config;
  private final SplittableRandom random;
  private final TrafficClass[] trafficClasses;
  private final GatewayShare share;
  private final EndpointTable endpoints;
  private final ObjectHistory history = new ObjectHistory();
  private final SegmentAdmission admission = new SegmentAdmission(history);
  private final PatienceEstimator patience;
  private final PurgeLog purges;
  private final SlowStart slowStart;
  private final OutlierDetector outlierDetector;
  private final ConcurrencyLimiter limiter;
  private final RetryPolicy retryPolicy;
  private final RetryBudget retryBudget = new RetryBudget();
  private final RouteSelector routes;
  private final SyntheticRouteSelector syntheticRoutes;
  private final AttemptRecorder recorder;
  private final ClusterManager cluster;

  private final Map<Long, InFlightRequest> requests = new TreeMap<>();
  private final Set<Attempt> openAttempts = new LinkedHashSet<>();
  private boolean sweepScheduled;
  private boolean watching;

  /** The batch that is decided at present, and its time. */
  private Batch batch;

  private long nowNanos;

  /** A router that knows no endpoint yet. */
  public RequestRouter(RoutingConfig config) {
    this.config = config;
    random = new SplittableRandom(config.seed());
    trafficClasses = new TrafficClass[config.trafficClassCount()];
    Arrays.setAll(trafficClasses, index -> new TrafficClass(config.trafficClass(index)));
    share = new GatewayShare(config);
    endpoints = new EndpointTable(config.zone());
    patience = new PatienceEstimator(history, config.transferKilobytesPerSecond());
    purges = new PurgeLog(config.purgeRetentionNanos());
    slowStart = new SlowStart(config, share, trafficClasses);
    outlierDetector = new OutlierDetector(config.seed(), endpoints, share, slowStart, random);
    limiter = new ConcurrencyLimiter(endpoints, trafficClasses);
    retryPolicy = new RetryPolicy(config.retries());
    RendezvousSelector rendezvous =
        new RendezvousSelector(retryPolicy, outlierDetector, limiter, slowStart);
    routes = new RouteSelector(config, endpoints, rendezvous, limiter, retryPolicy);
    syntheticRoutes =
        new SyntheticRouteSelector(endpoints, routes, slowStart, outlierDetector, limiter);
    recorder = new AttemptRecorder(endpoints, history, limiter, outlierDetector, slowStart);
    cluster = new ClusterManager(config, share, endpoints, slowStart, limiter, random);
  }

  /**
   * Decides on all events of a batch, at one time in nanoseconds; the actions are written as they
   * are decided.
   */
  public void decide(long time, RoutingEvents events, RoutingActions actions) {
    nowNanos = time;
    batch = new Batch(time, actions);
    slowStart.beginBatch(time);
    if (!watching && config.endpointListOnRequest()) {
      watching = true;
      actions.subscribeEndpoints();
    }
    events.replayTo(this);
  }

  // ---- Requests.

  /**
   * The ordinary path of a request: note its start, decide whether it is cached, choose its route,
   * send it.
   */
  @Override
  public void requestReceived(RequestDetails details) {
    InFlightRequest request = open(details);
    request.uncacheable = details.neverCached() || request.trafficClass.isNeverCached();
    retryBudget.deposit();
    boolean sharedZone = share.isZoneShared();
    long previousStartNanos =
        history.observe(details.object(), details.part(), sharedZone, nowNanos);
    if (!request.uncacheable) {
      request.rank =
          admission.rankOf(
              details.object(), request.segment, previousStartNanos, sharedZone, nowNanos);
    }
    if (!route(request)) {
      giveUp(request);
    }
  }

  /** Health checks and prefetches go by routes of their own, and are never hedged. */
  @Override
  public void syntheticRequestReceived(RequestDetails details, int endpoint) {
    InFlightRequest request = open(details);
    request.purpose = endpoint < 0 ? Purpose.PREFETCH : Purpose.HEALTH_CHECK;
    Route route;
    if (request.purpose == Purpose.PREFETCH) {
      request.rank = admission.prefetchRankOf(details.object());
      route = syntheticRoutes.selectPrefetch(request, nowNanos);
    } else {
      route = syntheticRoutes.selectHealthCheck(request, endpoint, nowNanos);
    }
    if (route == null) {
      giveUp(request);
    } else {
      send(request, route);
    }
  }

  private InFlightRequest open(RequestDetails details) {
    InFlightRequest request =
        new InFlightRequest(details, trafficClasses[details.trafficClass()], nowNanos);
    requests.put(details.id(), request);
    patience.estimate(request, details.kilobytes());
    return request;
  }

  // ---- Attempts.

  private boolean route(InFlightRequest request) {
    Route route = routes.select(request, nowNanos);
    if (route != null) {
      send(request, route);
    }
    return route != null;
  }

  private void send(InFlightRequest request, Route route) {
    Endpoint endpoint = route.endpoint();
    Endpoint source = route.source() == null ? endpoint : route.source();
    TrafficClass trafficClass = request.trafficClass;
    if (request.firstExecuted != null && trafficClass.effect() == Idempotency.IDEMPOTENCY_KEY) {
      batch
          .actions()
          .limitRetryStart(
              request.id,
              request.firstExecuted.sentAtNanos() + trafficClass.idempotencyWindowNanos());
    }
    long oldestNanos =
        trafficClass.freshNanos() + (route.cachedOnly() ? trafficClass.staleGraceNanos() : 0);
    batch
        .actions()
        .sendAttempt(
            new AttemptCommand(
                request.id,
                endpoint.index,
                request.deadlineNanos,
                source.index,
                purges.maxCopyAgeNanos(request.object, request.group, oldestNanos, nowNanos),
                request.rank,
                options(request, source, route.cachedOnly())));
    Attempt attempt =
        new Attempt(
            request,
            request.attempts.size(),
            route,
            nowNanos,
            slowStart.refundableSeconds(route, trafficClass, nowNanos));
    request.attempts.add(attempt);
    request.openAttempts++;
    openAttempts.add(attempt);
    recorder.recordSent(attempt, nowNanos);
    if (!sweepScheduled) {
      sweepScheduled = true;
      batch.actions().scheduleTimer(SWEEP_INTERVAL_NANOS, SWEEP_HANDLE);
    }
  }

  private int options(InFlightRequest request, Endpoint source, boolean cachedOnly) {
    boolean renews =
        !cachedOnly && request.trafficClass.freshNanos() > 0 && source.warmUp.isComplete(nowNanos);
    return (config.coalescing() ? AttemptCommand.COALESCE : 0)
        + (cachedOnly ? AttemptCommand.CACHED_ONLY : 0)
        + (renews ? AttemptCommand.REVALIDATE : 0);
  }

  @Override
  public void responseStarted(long id, int attemptNumber) {
    if (requests.containsKey(id)) {
      requests.get(id).streaming = true;
    }
  }

  @Override
  public void attemptEnded(AttemptResult result) {
    InFlightRequest request = requests.get(result.requestId());
    if (request == null
        || result.attempt() >= request.attempts.size()
        || !openAttempts.remove(request.attempts.get(result.attempt()))) {
      return;
    }
    Attempt attempt = request.attempts.get(result.attempt());
    request.openAttempts--;
    recorder.recordEnded(attempt, result.outcome(), result.durationNanos(), result.detail(), batch);
    if (!result.outcome().provesNotExecuted()) {
      request.recordExecuted(attempt);
    }
    if (result.requestFinished()) {
      finish(request);
    } else if (!request.done && request.openAttempts == 0) {
      retryOrGiveUp(attempt, result.outcome(), result.detail());
    } else if (request.done && request.openAttempts == 0) {
      requests.remove(result.requestId());
    }
  }

  /**
   * A retry where the request's kind, its time and the budget permit; else the final answer, at
   * once.
   */
  private void retryOrGiveUp(Attempt last, AttemptOutcome outcome, ResponseDetail note) {
    InFlightRequest request = last.request();
    request.originFailed |= note == ResponseDetail.ORIGIN_FAILED;
    boolean lackedCopy = last.cachedOnly() && outcome == AttemptOutcome.NOT_CACHED;
    boolean neverSent =
        outcome
            == AttemptOutcome.WITHDRAWN; // Guards its endpoint and the budget: nothing was sent.
    if (lackedCopy || request.originFailed || neverSent) {
      retryBudget.refund();
    } else {
      request.triedEndpoints.add(RetryPolicy.isSourceFault(note) ? last.source() : last.endpoint());
    }
    boolean isFillHopeless =
        lackedCopy
            && (routes.selectSource(request, nowNanos) == null
                || limiter.isOriginSaturated(request, nowNanos));
    if (isFillHopeless || outcome == AttemptOutcome.TIMED_OUT || !retry(request)) {
      giveUp(request);
    }
  }

  private boolean retry(InFlightRequest request) {
    return retryPolicy.permitsAnother(request, nowNanos)
        && retryBudget.tryWithdraw()
        && route(request);
  }

  /**
   * The final answer of a request that is not returned: a shed promises that nothing ran, an error
   * nothing.
   */
  private void giveUp(InFlightRequest request) {
    if (retryPolicy.isSafeToRepeat(request) && retryPolicy.hasTimeLeft(request, nowNanos)) {
      long shortestNanos =
          config.retries().retryAfter() ? config.retries().maxRetryAfterNanos() / 2 : 0;
      batch
          .actions()
          .reject(
              request.id, shortestNanos == 0 ? 0 : shortestNanos + random.nextLong(shortestNanos));
    } else {
      batch.actions().fail(request.id);
    }
    finish(request);
  }

  private void finish(InFlightRequest request) {
    request.done = true;
    if (config.retries().cancellation() && !request.streaming) {
      request.attempts.stream()
          .filter(openAttempts::contains)
          .forEach(attempt -> batch.actions().cancelAttempt(request.id, attempt.number()));
    }
    if (request.openAttempts == 0) {
      requests.remove(request.id);
    }
  }

  @Override
  public void clientDisconnected(long id) {
    if (requests.containsKey(id) && !requests.get(id).done) {
      finish(requests.get(id));
    }
  }

  @Override
  public void timerFired(String handle) {
    sweepScheduled = !openAttempts.isEmpty();
    if (sweepScheduled) {
      batch.actions().scheduleTimer(SWEEP_INTERVAL_NANOS, SWEEP_HANDLE);
    }
    limiter.recountFills(openAttempts, nowNanos);
    outlierDetector.recountOverdue(openAttempts, nowNanos);
    for (Endpoint[] peers : new Endpoint[][] {endpoints.zoneEdges(), endpoints.parents()}) {
      outlierDetector.detectOutliers(peers, batch);
      slowStart.learnThroughput(peers, nowNanos);
    }
    slowStart.updateWarmPeers(endpoints, nowNanos);
    for (Attempt attempt : new ArrayList<>(openAttempts)) {
      hedgeIfStalled(attempt);
    }
  }

  private void hedgeIfStalled(Attempt attempt) {
    boolean isEndpointSilent = outlierDetector.isSilentSince(attempt);
    boolean isStalled =
        isEndpointSilent
            || limiter.isOvertaken(attempt)
            || (attempt.source().health.isEjected() && attempt.endpoint().health.overdue > 0);
    if (isStalled && retryPolicy.permitsHedging(attempt, nowNanos)) {
      attempt
          .request()
          .triedEndpoints
          .add(isEndpointSilent ? attempt.endpoint() : attempt.source());
      retry(attempt.request());
    }
  }

  // ---- Changes of endpoints, copies and the fleet.

  @Override
  public void endpointListStarted(EndpointListKind listing) {
    cluster.beginList(listing);
    watching = listing != EndpointListKind.NONE;
  }

  @Override
  public void endpointListed(EndpointDescription endpoint) {
    cluster.update(
        new EndpointDescription(
            endpoint.index(),
            endpoint.id(),
            endpoint.zone(),
            endpoint.kind(),
            endpoint.cell(),
            endpoint.state(),
            endpoint.weight(),
            endpoint.startedAtNanos()),
        batch);
  }

  @Override
  public void endpointListCompleted() {
    cluster.endList(nowNanos);
  }

  @Override
  public void objectPurged(long object, int group, long agoNanos) {
    purges.record(object, group, nowNanos - agoNanos, nowNanos);
  }

  @Override
  public void gatewayShareChanged(int gateways, double granted) {
    cluster.updateShare(gateways, granted > 0, nowNanos);
  }

  @Override
  public void healthChecksDelegated(boolean delegated) {
    outlierDetector.setDelegated(delegated);
  }

  @Override
  public void healthReported(int index, boolean answers, long agoNanos) {
    Endpoint endpoint = endpoints.get(index);
    if (endpoint != null) {
      outlierDetector.onFleetReport(endpoint, answers, agoNanos, batch);
    }
  }
}
