package org.amberpath.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates the endpoints of a {@link SeededWorld}: ends each attempt with a response or a fault,
 * by the behaviours of its endpoint and its fill source.
 */
final class SeededEndpoints {
  /**
   * How an endpoint responds: in time, 15 times slower, not at all, by losing the connection, by
   * rejecting, by refusing the connect, with an error, or never, since the gateway does not write
   * the request. Random draws select by ordinal, so the order is part of the recorded digests.
   */
  enum Behaviour {
    HEALTHY,
    SLOW,
    HUNG,
    RESETTING,
    REJECTING,
    UNREACHABLE,
    FAILING,
    NEVER_WRITTEN
  }

  private record SentAttempt(long requestId, int number, int endpoint, long sentAtNanos) {}

  private static final long MS = 1_000_000L;

  private final SplittableRandom random;
  private final SeededSchedule schedule;
  private final RecordedActions recordedActions;
  private final double hitProbability;
  private final Map<Integer, Behaviour> behaviours = new HashMap<>();
  private final Map<Long, List<SentAttempt>> openByRequest = new TreeMap<>();
  private final Map<Long, Integer> attemptCounts = new HashMap<>();

  SeededEndpoints(
      SplittableRandom random,
      SeededSchedule schedule,
      RecordedActions recorded,
      double hitProbability) {
    this.random = random;
    this.schedule = schedule;
    this.recordedActions = recorded;
    this.hitProbability = hitProbability;
  }

  void setBehaviour(int endpoint, Behaviour behaviour) {
    behaviours.put(endpoint, behaviour);
  }

  /** Returns the IDs of the requests with open attempts, in ascending order. */
  List<Long> openRequests() {
    return List.copyOf(openByRequest.keySet());
  }

  /** Accepts an attempt and schedules its end. */
  void accept(AttemptCommand command) {
    int number = attemptCounts.merge(command.requestId(), 1, Integer::sum) - 1;
    recordedActions.count("attempt " + number);
    SentAttempt attempt =
        new SentAttempt(command.requestId(), number, command.endpoint(), schedule.nowNanos());
    openByRequest.computeIfAbsent(command.requestId(), id -> new ArrayList<>()).add(attempt);
    boolean cachedOnly = (command.options() & AttemptCommand.CACHED_ONLY) != 0;
    scheduleResponse(attempt, command.deadlineNanos(), command.source(), cachedOnly);
  }

  /** Schedules the end of an open attempt as cancelled, for the current time. */
  void cancel(long requestId, int number) {
    for (SentAttempt attempt : List.copyOf(openByRequest.getOrDefault(requestId, List.of()))) {
      if (attempt.number == number) {
        schedule.schedule(
            schedule.nowNanos(),
            to ->
                reportEnded(
                    to,
                    attempt,
                    AttemptOutcome.CANCELLED,
                    schedule.nowNanos() - attempt.sentAtNanos,
                    ResponseDetail.NONE));
      }
    }
  }

  /**
   * Schedules how an attempt ends. The behaviour is that of the endpoint; if the endpoint is
   * healthy and needs a fill, it is that of the fill source.
   */
  private void scheduleResponse(
      SentAttempt attempt, long deadlineNanos, int source, boolean cachedOnly) {
    boolean isHit = withProbability(hitProbability);
    Behaviour endpointBehaviour = behaviours.getOrDefault(attempt.endpoint, Behaviour.HEALTHY);
    Behaviour sourceBehaviour =
        source == attempt.endpoint
            ? Behaviour.HEALTHY
            : behaviours.getOrDefault(source, Behaviour.HEALTHY);
    Behaviour effectiveBehaviour =
        endpointBehaviour != Behaviour.HEALTHY || isHit || cachedOnly
            ? endpointBehaviour
            : sourceBehaviour;
    long durationNanos = (15 + random.nextInt(60)) * MS + (isHit ? 0 : 30 * MS);
    boolean isSourceFault =
        endpointBehaviour == Behaviour.HEALTHY
            && !isHit
            && !cachedOnly
            && source != attempt.endpoint;
    switch (effectiveBehaviour) {
      case HEALTHY ->
          scheduleNormalResponse(attempt, deadlineNanos, durationNanos, isHit, cachedOnly, source);
      case SLOW ->
          scheduleNormalResponse(
              attempt, deadlineNanos, 15 * durationNanos, isHit, cachedOnly, source);
      case HUNG ->
          scheduleEnd(
              attempt,
              deadlineNanos,
              deadlineNanos - schedule.nowNanos(),
              AttemptOutcome.TIMED_OUT,
              ResponseDetail.NONE);
      case RESETTING ->
          scheduleEnd(
              attempt,
              deadlineNanos,
              durationNanos,
              isSourceFault ? AttemptOutcome.FAILED : AttemptOutcome.CONNECTION_LOST,
              isSourceFault ? ResponseDetail.FILL_SOURCE_UNREACHABLE : ResponseDetail.NONE);
      case REJECTING ->
          scheduleEnd(
              attempt,
              deadlineNanos,
              MS,
              AttemptOutcome.REJECTED,
              isSourceFault
                  ? ResponseDetail.FILL_REJECTED
                  : withProbability(0.1)
                      ? ResponseDetail.NOT_STORED_NO_SPACE
                      : ResponseDetail.NONE);
      case UNREACHABLE ->
          scheduleEnd(
              attempt,
              deadlineNanos,
              2 * MS,
              isSourceFault ? AttemptOutcome.FAILED : AttemptOutcome.CONNECT_FAILED,
              isSourceFault ? ResponseDetail.FILL_SOURCE_UNREACHABLE : ResponseDetail.NONE);
      case FAILING ->
          scheduleEnd(
              attempt,
              deadlineNanos,
              durationNanos,
              AttemptOutcome.FAILED,
              isSourceFault || attempt.endpoint == SeededWorld.ORIGIN
                  ? ResponseDetail.ORIGIN_FAILED
                  : ResponseDetail.NONE);
      default ->
          scheduleEnd(
              attempt,
              deadlineNanos,
              MS,
              withProbability(0.5) ? AttemptOutcome.NOT_SENT : AttemptOutcome.WITHDRAWN,
              ResponseDetail.NONE);
    }
  }

  private void scheduleNormalResponse(
      SentAttempt attempt,
      long deadlineNanos,
      long durationNanos,
      boolean isHit,
      boolean cachedOnly,
      int source) {
    if (!isHit && cachedOnly) {
      scheduleEnd(attempt, deadlineNanos, 3 * MS, AttemptOutcome.NOT_CACHED, ResponseDetail.NONE);
    } else if (withProbability(0.01)) {
      scheduleEnd(
          attempt,
          deadlineNanos,
          5 * MS,
          withProbability(0.5) ? AttemptOutcome.FAILED : AttemptOutcome.NOT_CACHED,
          withProbability(0.5)
              ? ResponseDetail.FILL_SOURCE_MISS
              : ResponseDetail.NOT_STORED_NO_SPACE);
    } else {
      ResponseDetail detail =
          isHit
              ? withProbability(0.9)
                  ? ResponseDetail.HIT
                  : withProbability(0.5) ? ResponseDetail.STALE : ResponseDetail.NONE
              : source == SeededWorld.ORIGIN || withProbability(0.4)
                  ? ResponseDetail.FILLED_BY_ORIGIN
                  : withProbability(0.2) ? ResponseDetail.COALESCED : ResponseDetail.FILLED;
      if (withProbability(0.1)) {
        long halfwayNanos =
            schedule.nowNanos() + Math.min(durationNanos, deadlineNanos - schedule.nowNanos()) / 2;
        schedule.schedule(
            halfwayNanos, to -> to.responseStarted(attempt.requestId, attempt.number));
      }
      scheduleEnd(attempt, deadlineNanos, durationNanos, AttemptOutcome.SUCCEEDED, detail);
    }
  }

  private void scheduleEnd(
      SentAttempt attempt,
      long deadlineNanos,
      long durationNanos,
      AttemptOutcome plannedOutcome,
      ResponseDetail plannedDetail) {
    boolean isTimedOut = schedule.nowNanos() + durationNanos >= deadlineNanos;
    AttemptOutcome outcome = isTimedOut ? AttemptOutcome.TIMED_OUT : plannedOutcome;
    ResponseDetail detail = isTimedOut ? ResponseDetail.NONE : plannedDetail;
    long endedAtNanos = isTimedOut ? deadlineNanos : schedule.nowNanos() + durationNanos;
    schedule.schedule(
        endedAtNanos,
        to -> reportEnded(to, attempt, outcome, endedAtNanos - attempt.sentAtNanos, detail));
  }

  private void reportEnded(
      RoutingEventHandler to,
      SentAttempt attempt,
      AttemptOutcome outcome,
      long durationNanos,
      ResponseDetail detail) {
    List<SentAttempt> openAttempts = openByRequest.getOrDefault(attempt.requestId, List.of());
    if (!openAttempts.contains(attempt)) {
      return;
    }
    openAttempts.remove(attempt);
    if (openAttempts.isEmpty()) {
      openByRequest.remove(attempt.requestId);
    }
    recordedActions.count("outcome " + outcome);
    recordedActions.count("detail " + detail);
    to.attemptEnded(
        new AttemptResult(
            attempt.requestId,
            attempt.number,
            attempt.endpoint,
            outcome,
            durationNanos,
            outcome == AttemptOutcome.SUCCEEDED,
            detail));
    if (withProbability(0.001)) {
      to.attemptEnded(
          new AttemptResult(
              attempt.requestId,
              attempt.number + random.nextInt(2),
              attempt.endpoint,
              outcome,
              durationNanos,
              true,
              detail));
    }
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }
}
