package org.amberpath.routing;

import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Decides for one gateway where each request is served from, filled from and cached. {@link
 * #decide} receives a batch of all pending events and emits the resulting actions in order. {@link
 * RoutingConfig} is the configuration; there is no I/O, and the only clock is the batch's time, in
 * nanoseconds. All calls come on the event loop that owns the gateway.
 *
 * <p>The ordinary path of a request is {@link #requestReceived}: {@link SegmentAdmission} decides
 * whether its response is cached, {@link RouteSelector} selects its route and {@link
 * AttemptDispatcher} sends it. Deviations from that path are decided by {@link OutlierDetector},
 * {@link SlowStart}, {@link ConcurrencyLimiter} and {@link RetryPolicy}. Synthetic requests are
 * routed by {@link SyntheticRouteSelector}; {@link ClusterManager} applies changes of the endpoints
 * and of the fleet. Source: docs/design.md.
 */
public final class RequestRouter implements RoutingEventHandler {
  private final RoutingConfig config;
  private final SplittableRandom random;
  private final TrafficClass[] trafficClasses;
  private final GatewayShare gatewayShare;
  private final EndpointTable endpoints;
  private final ObjectHistory history = new ObjectHistory();
  private final SegmentAdmission admission = new SegmentAdmission(history);
  private final SoftTimeoutEstimator softTimeoutEstimator;
  private final PurgeLog purges;
  private final SlowStart slowStart;
  private final OutlierDetector outlierDetector;
  private final ConcurrencyLimiter limiter;
  private final RetryPolicy retryPolicy;
  private final RetryBudget retryBudget = new RetryBudget();
  private final RouteSelector routes;
  private final SyntheticRouteSelector syntheticRoutes;
  private final AttemptRecorder recorder;
  private final AttemptDispatcher dispatcher;
  private final ClusterManager cluster;

  /**
   * Requests by id, from their arrival until the final response is decided and the last attempt has
   * ended.
   */
  private final Map<Long, InFlightRequest> requests = new TreeMap<>();

  /** The current batch, and its time. */
  private Batch batch;

  private long nowNanos;

  /** Creates a router without endpoints. */
  public RequestRouter(RoutingConfig config) {
    this.config = config;
    random = new SplittableRandom(config.seed());
    trafficClasses = new TrafficClass[config.trafficClassCount()];
    Arrays.setAll(trafficClasses, index -> new TrafficClass(config.trafficClass(index)));
    gatewayShare = new GatewayShare(config);
    endpoints = new EndpointTable(config.zone());
    softTimeoutEstimator = new SoftTimeoutEstimator(history, config.transferKilobytesPerSecond());
    purges = new PurgeLog(config.purgeRetentionNanos());
    slowStart = new SlowStart(config, gatewayShare, trafficClasses);
    outlierDetector =
        new OutlierDetector(config.seed(), endpoints, gatewayShare, slowStart, random);
    limiter = new ConcurrencyLimiter(endpoints, trafficClasses);
    retryPolicy = new RetryPolicy(config.retries());
    RendezvousSelector rendezvous =
        new RendezvousSelector(retryPolicy, outlierDetector, limiter, slowStart);
    routes = new RouteSelector(config, endpoints, rendezvous, limiter, retryPolicy);
    syntheticRoutes =
        new SyntheticRouteSelector(
            endpoints, routes, admission, slowStart, outlierDetector, limiter);
    recorder = new AttemptRecorder(endpoints, history, limiter, outlierDetector, slowStart);
    dispatcher = new AttemptDispatcher(config, purges, slowStart, recorder);
    cluster = new ClusterManager(config, gatewayShare, endpoints, slowStart, limiter, random);
  }

  /**
   * Decides on all events of a batch at one time, in nanoseconds, and passes each action on as soon
   * as it is decided.
   */
  public void decide(long batchNanos, RoutingEvents events, RoutingActions actions) {
    nowNanos = batchNanos;
    batch = new Batch(batchNanos, actions);
    slowStart.beginBatch(batchNanos);
    cluster.subscribeIfNeeded(batch);
    events.replayTo(this);
  }

  // ---- Requests ----

  /**
   * The ordinary path of a request: record its start, decide whether its response is cached, select
   * its route and send it.
   */
  @Override
  public void requestReceived(RequestDetails details) {
    InFlightRequest request = register(details);
    request.uncacheable = details.neverCached() || request.trafficClass.isNeverCached();
    retryBudget.deposit();
    boolean isZoneShared = gatewayShare.isZoneShared();
    long previousStartNanos =
        history.observe(details.object(), details.part(), isZoneShared, nowNanos);
    if (!request.uncacheable) {
      request.rank =
          admission.rankOf(
              details.object(), request.segment, previousStartNanos, isZoneShared, nowNanos);
    }
    if (!selectRouteAndSend(request)) {
      rejectOrFail(request);
    }
  }

  /** Routes a health check or a prefetch, which is never retried or hedged. */
  @Override
  public void syntheticRequestReceived(RequestDetails details, int endpoint) {
    InFlightRequest request = register(details);
    Route route = syntheticRoutes.select(request, endpoint, nowNanos);
    if (route == null) {
      rejectOrFail(request);
    } else {
      dispatcher.send(request, route, batch);
    }
  }

  private InFlightRequest register(RequestDetails details) {
    InFlightRequest request =
        new InFlightRequest(details, trafficClasses[details.trafficClass()], nowNanos);
    requests.put(details.id(), request);
    softTimeoutEstimator.estimate(request, details.kilobytes());
    return request;
  }

  // ---- Attempts ----

  private boolean selectRouteAndSend(InFlightRequest request) {
    Route route = routes.select(request, nowNanos);
    if (route != null) {
      dispatcher.send(request, route, batch);
    }
    return route != null;
  }

  @Override
  public void responseStarted(long requestId, int attemptNumber) {
    InFlightRequest request = requests.get(requestId);
    if (request != null) {
      request.streaming = true;
    }
  }

  @Override
  public void attemptEnded(AttemptResult result) {
    InFlightRequest request = requests.get(result.requestId());
    Attempt attempt = request == null ? null : dispatcher.remove(request, result.attempt());
    if (attempt == null) {
      return;
    }
    recorder.recordEnded(attempt, result.outcome(), result.durationNanos(), result.detail(), batch);
    if (!result.outcome().provesNotExecuted()) {
      request.recordExecuted(attempt);
    }
    if (result.requestFinished()) {
      finish(request);
    } else if (!request.finished && request.openAttempts == 0) {
      retryOrFinish(attempt, result.outcome(), result.detail());
    } else if (request.finished && request.openAttempts == 0) {
      requests.remove(result.requestId());
    }
  }

  /**
   * Retries the request if its class, its time left and the retry budget permit it; otherwise sends
   * the final response.
   */
  private void retryOrFinish(Attempt attempt, AttemptOutcome outcome, ResponseDetail detail) {
    InFlightRequest request = attempt.request();
    request.originFailed |= detail == ResponseDetail.ORIGIN_FAILED;
    boolean isCachedOnlyMiss = attempt.cachedOnly() && outcome == AttemptOutcome.NOT_CACHED;
    boolean isWithdrawn = outcome == AttemptOutcome.WITHDRAWN;
    if (isCachedOnlyMiss || request.originFailed || isWithdrawn) {
      retryBudget.refund();
    } else {
      request.excludedEndpoints.add(
          RetryPolicy.isSourceFault(detail) ? attempt.source() : attempt.endpoint());
    }
    boolean isUnfillableMiss = isCachedOnlyMiss && !routes.canFill(request, nowNanos);
    if (isUnfillableMiss || outcome == AttemptOutcome.TIMED_OUT || !tryRetry(request)) {
      rejectOrFail(request);
    }
  }

  private boolean tryRetry(InFlightRequest request) {
    return retryPolicy.permitsAnother(request, nowNanos)
        && retryBudget.tryWithdraw()
        && selectRouteAndSend(request);
  }

  /**
   * Sends the final response of a request without a successful attempt. A rejection tells the
   * client that the request is safe to repeat; a failure leaves open whether it took effect.
   */
  private void rejectOrFail(InFlightRequest request) {
    if (retryPolicy.isSafeToRepeat(request) && retryPolicy.hasTimeLeft(request, nowNanos)) {
      long minRetryAfterNanos = retryPolicy.minRetryAfterNanos();
      batch
          .actions()
          .reject(
              request.id,
              minRetryAfterNanos == 0
                  ? 0
                  : minRetryAfterNanos + random.nextLong(minRetryAfterNanos));
    } else {
      batch.actions().fail(request.id);
    }
    finish(request);
  }

  private void finish(InFlightRequest request) {
    request.finished = true;
    if (config.retries().cancellation() && !request.streaming) {
      dispatcher.cancelAll(request, batch);
    }
    if (request.openAttempts == 0) {
      requests.remove(request.id);
    }
  }

  @Override
  public void clientDisconnected(long requestId) {
    InFlightRequest request = requests.get(requestId);
    if (request != null && !request.finished) {
      finish(request);
    }
  }

  /**
   * Runs the periodic sweep: recomputes the fills in flight and the overdue requests, ejects
   * outliers, updates slow start and hedges stalled requests.
   */
  @Override
  public void timerFired(String handle) {
    dispatcher.onTimer(batch);
    limiter.recountFills(dispatcher.openAttempts(), nowNanos);
    outlierDetector.recountOverdue(dispatcher.openAttempts(), nowNanos);
    sweep(endpoints.zoneEdges());
    sweep(endpoints.parents());
    slowStart.updateWarmPeers(endpoints, nowNanos);
    for (Attempt attempt : dispatcher.copyOfOpenAttempts()) {
      hedgeIfStalled(attempt);
    }
  }

  private void sweep(Endpoint[] peers) {
    outlierDetector.detectOutliers(peers, batch);
    slowStart.learnThroughput(peers, nowNanos);
  }

  private void hedgeIfStalled(Attempt attempt) {
    InFlightRequest request = attempt.request();
    boolean isEndpointUnresponsive = outlierDetector.isEndpointUnresponsive(attempt);
    boolean isStalled =
        isEndpointUnresponsive
            || limiter.isOvertakenByLaterFills(attempt)
            || (attempt.source().health.isEjected()
                && attempt.endpoint().health.overdueRequests > 0);
    if (isStalled && retryPolicy.permitsHedging(attempt, nowNanos)) {
      request.excludedEndpoints.add(isEndpointUnresponsive ? attempt.endpoint() : attempt.source());
      tryRetry(request);
    }
  }

  // ---- Endpoints, purges and the fleet ----

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    cluster.beginList(kind);
  }

  @Override
  public void endpointListed(EndpointDescription endpoint) {
    cluster.update(endpoint, batch);
  }

  @Override
  public void endpointListCompleted() {
    cluster.endList(nowNanos);
  }

  @Override
  public void objectPurged(long object, int group, long ageNanos) {
    purges.record(object, group, nowNanos - ageNanos, nowNanos);
  }

  @Override
  public void gatewayShareChanged(int gateways, double grantedShare) {
    cluster.updateShare(gateways, grantedShare > 0, nowNanos);
  }

  @Override
  public void healthChecksDelegated(boolean delegated) {
    outlierDetector.setDelegated(delegated);
  }

  @Override
  public void healthReported(int endpoint, boolean responded, long ageNanos) {
    outlierDetector.onHealthReport(endpoint, responded, ageNanos, batch);
  }
}
