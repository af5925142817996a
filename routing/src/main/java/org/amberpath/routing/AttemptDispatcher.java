package org.amberpath.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Sends attempts along their routes, tracks those that have not ended, and keeps the sweep timer
 * running while there are any.
 */
final class AttemptDispatcher {
  private static final long SWEEP_INTERVAL_NANOS = 20_000_000L;
  private static final String SWEEP_HANDLE = "sweep";

  private final RoutingConfig config;
  private final PurgeLog purges;
  private final SlowStart slowStart;
  private final AttemptRecorder recorder;

  /** Attempts that have not ended, in the order in which they were sent. */
  private final Set<Attempt> openAttempts = new LinkedHashSet<>();

  private final Collection<Attempt> openAttemptsView = Collections.unmodifiableSet(openAttempts);

  private boolean isSweepScheduled;

  /** Creates a dispatcher without attempts that passes each sent attempt to the recorder. */
  AttemptDispatcher(
      RoutingConfig config, PurgeLog purges, SlowStart slowStart, AttemptRecorder recorder) {
    this.config = config;
    this.purges = purges;
    this.slowStart = slowStart;
    this.recorder = recorder;
  }

  /** Returns a view of the attempts that have not ended, in the order in which they were sent. */
  Collection<Attempt> openAttempts() {
    return openAttemptsView;
  }

  /** Returns a copy of {@link #openAttempts}, for loops that send further attempts. */
  List<Attempt> copyOfOpenAttempts() {
    return new ArrayList<>(openAttempts);
  }

  /** Sends a request's next attempt along the given route. */
  void send(InFlightRequest request, Route route, Batch batch) {
    long nowNanos = batch.nowNanos();
    TrafficClass trafficClass = request.trafficClass;
    limitRetryStart(request, batch);
    batch.actions().sendAttempt(createCommand(request, route, nowNanos));
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
    if (!isSweepScheduled) {
      scheduleSweep(batch);
    }
  }

  /**
   * Sets the latest time at which a retry may be written. Guards against executing a request twice:
   * the connection for a retry may be established only after the endpoints have discarded the
   * idempotency key of an attempt that may have executed.
   */
  private static void limitRetryStart(InFlightRequest request, Batch batch) {
    TrafficClass trafficClass = request.trafficClass;
    if (request.earliestExecuted != null
        && trafficClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
      batch
          .actions()
          .limitRetryStart(
              request.id,
              request.earliestExecuted.sentAtNanos() + trafficClass.idempotencyWindowNanos());
    }
  }

  private AttemptCommand createCommand(InFlightRequest request, Route route, long nowNanos) {
    Endpoint endpoint = route.endpoint();
    Endpoint source = route.source() == null ? endpoint : route.source();
    TrafficClass trafficClass = request.trafficClass;
    long maxAgeNanos =
        trafficClass.freshNanos() + (route.cachedOnly() ? trafficClass.staleGraceNanos() : 0);
    return new AttemptCommand(
        request.id,
        endpoint.index,
        request.deadlineNanos,
        source.index,
        purges.maxCopyAgeNanos(request.object, request.group, maxAgeNanos, nowNanos),
        request.rank,
        options(trafficClass, source, route.cachedOnly(), nowNanos));
  }

  private int options(
      TrafficClass trafficClass, Endpoint source, boolean cachedOnly, long nowNanos) {
    boolean shouldRevalidate =
        !cachedOnly && trafficClass.freshNanos() > 0 && source.warmUp.isComplete(nowNanos);
    return (config.coalescing() ? AttemptCommand.COALESCE : 0)
        + (cachedOnly ? AttemptCommand.CACHED_ONLY : 0)
        + (shouldRevalidate ? AttemptCommand.REVALIDATE : 0);
  }

  /** Cancels the attempts of a request that have not ended. */
  void cancelAll(InFlightRequest request, Batch batch) {
    for (Attempt attempt : request.attempts) {
      if (openAttempts.contains(attempt)) {
        batch.actions().cancelAttempt(request.id, attempt.number());
      }
    }
  }

  /**
   * Removes an attempt from those that have not ended.
   *
   * @return the attempt; null if the request has none of that number or it had ended before
   */
  Attempt remove(InFlightRequest request, int number) {
    if (number >= request.attempts.size()) {
      return null;
    }
    Attempt attempt = request.attempts.get(number);
    if (!openAttempts.remove(attempt)) {
      return null;
    }
    request.openAttempts--;
    return attempt;
  }

  /** Handles the sweep timer: schedules it again while there are attempts. */
  void onTimer(Batch batch) {
    isSweepScheduled = false;
    if (!openAttempts.isEmpty()) {
      scheduleSweep(batch);
    }
  }

  private void scheduleSweep(Batch batch) {
    isSweepScheduled = true;
    batch.actions().scheduleTimer(SWEEP_INTERVAL_NANOS, SWEEP_HANDLE);
  }
}
