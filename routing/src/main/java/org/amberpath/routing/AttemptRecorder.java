package org.amberpath.routing;

import org.amberpath.routing.InFlightRequest.Purpose;

/**
 * Reports each attempt to all that count or learn: traffic classes, limits, outlier detection and
 * slow start.
 */
final class AttemptRecorder {
  /** An answer within this part of its request's patience counts as in time. */
  private static final double PROMPT_FRACTION = 0.75;

  private static final double NANOS_PER_SECOND = 1e9;

  private final EndpointTable endpoints;
  private final ObjectHistory history;
  private final ConcurrencyLimiter limiter;
  private final OutlierDetector outlierDetector;
  private final SlowStart slowStart;

  /** A recorder that reports to these. */
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
   * An attempt is sent: it counts at its endpoint and, as far as it is likely a fill, at its
   * source.
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

  /** An attempt has ended; it took so many nanoseconds. */
  void recordEnded(
      Attempt attempt, AttemptOutcome outcome, long tookNanos, ResponseDetail note, Batch batch) {
    attempt.endpoint().limit.inFlight--;
    switch (outcome) {
      case SUCCEEDED -> recordReturned(attempt, tookNanos, note, batch);
      case REJECTED, NOT_CACHED, FAILED -> recordRejected(attempt, outcome, note, batch);
      case TIMED_OUT -> recordUnanswered(attempt, batch.nowNanos());
      case CONNECTION_LOST ->
          attempt.endpoint()
              .health
              .failures++; // Guards against resets of single answers: no outage.
      case CONNECT_FAILED -> outlierDetector.eject(attempt.endpoint(), batch);
      default -> {}
    }
  }

  private void recordReturned(Attempt attempt, long tookNanos, ResponseDetail note, Batch batch) {
    InFlightRequest request = attempt.request();
    TrafficClass trafficClass = request.trafficClass;
    boolean isHit = note == ResponseDetail.HIT || note == ResponseDetail.NONE;
    trafficClass.recordRoute(note);
    recordWork(attempt, attempt.endpoint(), batch);
    history.recordAnswer(request.object, tookNanos);
    if (isHit) {
      slowStart.refund(attempt.source(), attempt.refundableWorkSeconds(), batch.nowNanos());
    } else {
      recordWork(attempt, attempt.source(), batch);
    }
    if (isHit && !request.sizeKnown) {
      trafficClass.recordDuration(tookNanos);
    }
    if (request.durationKnown) {
      recordLatency(
          attempt, tookNanos, isHit, note == ResponseDetail.FILLED_BY_ORIGIN, batch.nowNanos());
    }
  }

  private void recordWork(Attempt attempt, Endpoint endpoint, Batch batch) {
    double workSeconds = attempt.request().trafficClass.workNanos() / NANOS_PER_SECOND;
    endpoint.warmUp.recordReturned(workSeconds, batch.nowNanos());
    outlierDetector.onAnswer(endpoint, attempt.sentAtNanos(), batch);
  }

  private void recordLatency(
      Attempt attempt, long tookNanos, boolean isHit, boolean isByOrigin, long nowNanos) {
    boolean inTime = tookNanos <= attempt.request().patienceNanos * PROMPT_FRACTION;
    ConcurrencyLimit limit =
        isByOrigin
            ? limiter.originLimit()
            : isHit ? attempt.endpoint().limit : attempt.source().limit;
    limit.onAnswer(nowNanos, inTime);
    if (inTime) {
      limit.lastPromptSentNanos = Math.max(limit.lastPromptSentNanos, attempt.sentAtNanos());
    }
    if (!isHit && !isByOrigin) {
      limiter.uplinkLimit().onAnswer(nowNanos, inTime);
    }
  }

  private void recordRejected(
      Attempt attempt, AttemptOutcome outcome, ResponseDetail note, Batch batch) {
    long nowNanos = batch.nowNanos();
    attempt.endpoint().health.lastResponseNanos = nowNanos;
    if (attempt.request().isSynthetic() && outcome == AttemptOutcome.NOT_CACHED) {
      outlierDetector.onAnswer(attempt.endpoint(), attempt.sentAtNanos(), batch);
    }
    if (RetryPolicy.isSourceFault(note)) {
      attempt.request().trafficClass.recordRoute(note);
    }
    if (note == ResponseDetail.FILL_SOURCE_UNREACHABLE) {
      attempt.source().health.failures++;
      attempt.source().limit.onAnswer(nowNanos, false);
    } else if (note == ResponseDetail.ORIGIN_FAILED || note == ResponseDetail.FILL_REJECTED) {
      boolean isOrigins =
          note == ResponseDetail.ORIGIN_FAILED || attempt.source() == endpoints.origin();
      (isOrigins ? limiter.originLimit() : attempt.source().limit).onRejected(nowNanos);
    } else if (outcome == AttemptOutcome.REJECTED) {
      attempt.endpoint().limit.onRejected(nowNanos);
    }
  }

  /**
   * Guards a source against the blame for answers that got lost behind a silent endpoint, and for
   * attempts that were sent so late that their deadline came before they could be overdue.
   */
  private static void recordUnanswered(Attempt attempt, long nowNanos) {
    Endpoint source = attempt.source();
    if (attempt.number() > 0 && !attempt.isOverdue(nowNanos)) {
      return;
    }
    source.limit.onAnswer(
        nowNanos,
        !attempt.hasSource()
            || source.health.lastResponseNanos
                > attempt.sentAtNanos() + attempt.request().patienceNanos);
  }
}
