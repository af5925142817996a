package org.amberpath.routing;

import org.amberpath.routing.InFlightRequest.Purpose;

/**
 * Records each attempt in the components that count or learn from it: traffic classes, concurrency
 * limits, outlier detection and slow start.
 */
final class AttemptRecorder {
  /** A response within this fraction of its request's soft timeout counts as timely. */
  private static final double TIMELY_FRACTION = 0.75;

  private static final double NANOS_PER_SECOND = 1e9;

  private final EndpointTable endpoints;
  private final ObjectHistory history;
  private final ConcurrencyLimiter limiter;
  private final OutlierDetector outlierDetector;
  private final SlowStart slowStart;

  /** Creates a recorder that updates the given components. */
  AttemptRecorder(
      EndpointTable endpoints,
      ObjectHistory history,
      ConcurrencyLimiter limiter,
      OutlierDetector outlierDetector,
      SlowStart slowStart) {
    this.endpoints = endpoints;
    this.history = history;
    this.limiter = limiter;
    this.outlierDetector = outlierDetector;
    this.slowStart = slowStart;
  }

  /**
   * Records that an attempt is sent: it counts as in flight at its endpoint and, weighted by the
   * likelihood of a fill, at its source.
   */
  void recordSent(Attempt attempt, long nowNanos) {
    Endpoint endpoint = attempt.endpoint();
    InFlightRequest request = attempt.request();
    double workSeconds = request.trafficClass.workNanos() / NANOS_PER_SECOND;
    if (endpoint.limit.inFlight++ == 0) {
      endpoint.health.lastResponseNanos = nowNanos;
    }
    slowStart.charge(endpoint, request.purpose == Purpose.PREFETCH ? 0 : workSeconds, nowNanos);
    if (attempt.hasSource()) {
      limiter.addFill(attempt, request.trafficClass.missFraction(), nowNanos);
      slowStart.charge(attempt.source(), workSeconds, nowNanos);
    }
  }

  /** Records that an attempt has ended after the given time. */
  void recordEnded(
      Attempt attempt,
      AttemptOutcome outcome,
      long durationNanos,
      ResponseDetail detail,
      Batch batch) {
    attempt.endpoint().limit.inFlight--;
    switch (outcome) {
      case SUCCEEDED -> recordSucceeded(attempt, durationNanos, detail, batch);
      case REJECTED, NOT_CACHED, FAILED -> recordRejected(attempt, outcome, detail, batch);
      case TIMED_OUT -> recordTimedOut(attempt, batch.nowNanos());
      // A single failure does not eject the endpoint: the reset of one response is no outage.
      case CONNECTION_LOST -> attempt.endpoint().health.failuresSinceResponse++;
      case CONNECT_FAILED -> outlierDetector.eject(attempt.endpoint(), batch);
      default -> {}
    }
  }

  private void recordSucceeded(
      Attempt attempt, long durationNanos, ResponseDetail detail, Batch batch) {
    InFlightRequest request = attempt.request();
    TrafficClass trafficClass = request.trafficClass;
    boolean isHit = detail == ResponseDetail.HIT || detail == ResponseDetail.NONE;
    trafficClass.recordResponse(detail);
    recordServed(attempt, attempt.endpoint(), batch);
    history.recordResponseTime(request.object, durationNanos);
    if (isHit) {
      slowStart.refund(attempt.source(), attempt.refundableWorkSeconds(), batch.nowNanos());
    } else {
      recordServed(attempt, attempt.source(), batch);
    }
    if (isHit && !request.durationKnownFromSize) {
      trafficClass.recordDuration(durationNanos);
    }
    if (request.canJudgeLatency) {
      recordLatency(
          attempt,
          durationNanos,
          isHit,
          detail == ResponseDetail.FILLED_BY_ORIGIN,
          batch.nowNanos());
    }
  }

  private void recordServed(Attempt attempt, Endpoint endpoint, Batch batch) {
    double workSeconds = attempt.request().trafficClass.workNanos() / NANOS_PER_SECOND;
    endpoint.warmUp.recordServedWork(workSeconds, batch.nowNanos());
    outlierDetector.onResponse(endpoint, attempt.sentAtNanos(), batch);
  }

  private void recordLatency(
      Attempt attempt, long durationNanos, boolean isHit, boolean isFilledByOrigin, long nowNanos) {
    boolean inTime = durationNanos <= attempt.request().softTimeoutNanos * TIMELY_FRACTION;
    ConcurrencyLimit limit =
        isFilledByOrigin
            ? limiter.originLimit()
            : isHit ? attempt.endpoint().limit : attempt.source().limit;
    limit.onResponse(nowNanos, inTime);
    if (inTime) {
      limit.lastTimelySentNanos = Math.max(limit.lastTimelySentNanos, attempt.sentAtNanos());
    }
    if (!isHit && !isFilledByOrigin) {
      limiter.uplinkLimit().onResponse(nowNanos, inTime);
    }
  }

  private void recordRejected(
      Attempt attempt, AttemptOutcome outcome, ResponseDetail detail, Batch batch) {
    long nowNanos = batch.nowNanos();
    attempt.endpoint().health.lastResponseNanos = nowNanos;
    if (attempt.request().isSynthetic() && outcome == AttemptOutcome.NOT_CACHED) {
      outlierDetector.onResponse(attempt.endpoint(), attempt.sentAtNanos(), batch);
    }
    if (RetryPolicy.isSourceFault(detail)) {
      attempt.request().trafficClass.recordResponse(detail);
    }
    if (detail == ResponseDetail.FILL_SOURCE_UNREACHABLE) {
      attempt.source().health.failuresSinceResponse++;
      attempt.source().limit.onResponse(nowNanos, false);
    } else if (detail == ResponseDetail.ORIGIN_FAILED || detail == ResponseDetail.FILL_REJECTED) {
      boolean isOriginFault =
          detail == ResponseDetail.ORIGIN_FAILED || attempt.source() == endpoints.origin();
      (isOriginFault ? limiter.originLimit() : attempt.source().limit).onRejected(nowNanos);
    } else if (outcome == AttemptOutcome.REJECTED) {
      attempt.endpoint().limit.onRejected(nowNanos);
    }
  }

  /**
   * Records a timeout at the source's limit: as a late response, or as a timely one if nothing was
   * to be filled or the source has responded since the attempt became overdue. Guards the limit
   * against responses that were lost behind an endpoint that does not respond. A retry that was
   * sent so late that its deadline came before it could be overdue is not recorded.
   */
  private static void recordTimedOut(Attempt attempt, long nowNanos) {
    Endpoint source = attempt.source();
    if (attempt.number() > 0 && !attempt.isOverdue(nowNanos)) {
      return;
    }
    source.limit.onResponse(
        nowNanos,
        !attempt.hasSource()
            || source.health.lastResponseNanos
                > attempt.sentAtNanos() + attempt.request().softTimeoutNanos);
  }
}
