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
   * How an endpoint responds. Random draws select by ordinal, so the order is part of the recorded
   * digests.
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
  private final RecordedActions recorded;
  private final double hitProbability;
  private final Map<Integer, Behaviour> behaviours = new HashMap<>();
  private final Map<Long, List<SentAttempt>> open = new TreeMap<>();
  private final Map<Long, Integer> attemptCounts = new HashMap<>();

  SeededEndpoints(
      SplittableRandom random,
      SeededSchedule schedule,
      RecordedActions recorded,
      double hitProbability) {
    this.random = random;
    this.schedule = schedule;
    this.recorded = recorded;
    this.hitProbability = hitProbability;
  }

  void setBehaviour(int endpoint, Behaviour behaviour) {
    behaviours.put(endpoint, behaviour);
  }

  /** Returns the IDs of the requests with open attempts, in ascending order. */
  List<Long> openRequests() {
    return List.copyOf(open.keySet());
  }

  /** Accepts an attempt and schedules its end. */
  void accept(AttemptCommand command) {
    int number = attemptCounts.merge(command.requestId(), 1, Integer::sum) - 1;
    recorded.count("attempt " + number);
    SentAttempt attempt =
        new SentAttempt(command.requestId(), number, command.endpoint(), schedule.nowNanos());
    open.computeIfAbsent(command.requestId(), id -> new ArrayList<>()).add(attempt);
    boolean cachedOnly = (command.options() & AttemptCommand.CACHED_ONLY) != 0;
    respond(attempt, command.deadlineNanos(), command.source(), cachedOnly);
  }

  /** Schedules the end of an open attempt as cancelled, for the current time. */
  void cancel(long requestId, int number) {
    for (SentAttempt attempt : List.copyOf(open.getOrDefault(requestId, List.of()))) {
      if (attempt.number == number) {
        schedule.schedule(
            schedule.nowNanos(),
            to ->
                ended(
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
  private void respond(SentAttempt attempt, long deadlineNanos, int source, boolean cachedOnly) {
    boolean hit = withProbability(hitProbability);
    Behaviour own = behaviours.getOrDefault(attempt.endpoint, Behaviour.HEALTHY);
    Behaviour ofSource =
        source == attempt.endpoint
            ? Behaviour.HEALTHY
            : behaviours.getOrDefault(source, Behaviour.HEALTHY);
    Behaviour effective = own != Behaviour.HEALTHY || hit || cachedOnly ? own : ofSource;
    long durationNanos = (15 + random.nextInt(60)) * MS + (hit ? 0 : 30 * MS);
    boolean atSource =
        own == Behaviour.HEALTHY && !hit && !cachedOnly && source != attempt.endpoint;
    switch (effective) {
      case HEALTHY ->
          respondNormally(attempt, deadlineNanos, durationNanos, hit, cachedOnly, source);
      case SLOW ->
          respondNormally(attempt, deadlineNanos, 15 * durationNanos, hit, cachedOnly, source);
      case HUNG ->
          end(
              attempt,
              deadlineNanos,
              deadlineNanos - schedule.nowNanos(),
              AttemptOutcome.TIMED_OUT,
              ResponseDetail.NONE);
      case RESETTING ->
          end(
              attempt,
              deadlineNanos,
              durationNanos,
              atSource ? AttemptOutcome.FAILED : AttemptOutcome.CONNECTION_LOST,
              atSource ? ResponseDetail.FILL_SOURCE_UNREACHABLE : ResponseDetail.NONE);
      case REJECTING ->
          end(
              attempt,
              deadlineNanos,
              MS,
              AttemptOutcome.REJECTED,
              atSource
                  ? ResponseDetail.FILL_REJECTED
                  : withProbability(0.1)
                      ? ResponseDetail.NOT_STORED_NO_SPACE
                      : ResponseDetail.NONE);
      case UNREACHABLE ->
          end(
              attempt,
              deadlineNanos,
              2 * MS,
              atSource ? AttemptOutcome.FAILED : AttemptOutcome.CONNECT_FAILED,
              atSource ? ResponseDetail.FILL_SOURCE_UNREACHABLE : ResponseDetail.NONE);
      case FAILING ->
          end(
              attempt,
              deadlineNanos,
              durationNanos,
              AttemptOutcome.FAILED,
              atSource || attempt.endpoint == SeededWorld.ORIGIN
                  ? ResponseDetail.ORIGIN_FAILED
                  : ResponseDetail.NONE);
      default ->
          end(
              attempt,
              deadlineNanos,
              MS,
              withProbability(0.5) ? AttemptOutcome.NOT_SENT : AttemptOutcome.WITHDRAWN,
              ResponseDetail.NONE);
    }
  }

  private void respondNormally(
      SentAttempt attempt,
      long deadlineNanos,
      long durationNanos,
      boolean hit,
      boolean cachedOnly,
      int source) {
    if (!hit && cachedOnly) {
      end(attempt, deadlineNanos, 3 * MS, AttemptOutcome.NOT_CACHED, ResponseDetail.NONE);
    } else if (withProbability(0.01)) {
      end(
          attempt,
          deadlineNanos,
          5 * MS,
          withProbability(0.5) ? AttemptOutcome.FAILED : AttemptOutcome.NOT_CACHED,
          withProbability(0.5)
              ? ResponseDetail.FILL_SOURCE_MISS
              : ResponseDetail.NOT_STORED_NO_SPACE);
    } else {
      ResponseDetail detail =
          hit
              ? withProbability(0.9)
                  ? ResponseDetail.HIT
                  : withProbability(0.5) ? ResponseDetail.STALE : ResponseDetail.NONE
              : source == SeededWorld.ORIGIN || withProbability(0.4)
                  ? ResponseDetail.FILLED_BY_ORIGIN
                  : withProbability(0.2) ? ResponseDetail.COALESCED : ResponseDetail.FILLED;
      if (withProbability(0.1)) {
        long halfway =
            schedule.nowNanos() + Math.min(durationNanos, deadlineNanos - schedule.nowNanos()) / 2;
        schedule.schedule(halfway, to -> to.responseStarted(attempt.requestId, attempt.number));
      }
      end(attempt, deadlineNanos, durationNanos, AttemptOutcome.SUCCEEDED, detail);
    }
  }

  private void end(
      SentAttempt attempt,
      long deadlineNanos,
      long durationNanos,
      AttemptOutcome plannedOutcome,
      ResponseDetail plannedDetail) {
    boolean late = schedule.nowNanos() + durationNanos >= deadlineNanos;
    AttemptOutcome outcome = late ? AttemptOutcome.TIMED_OUT : plannedOutcome;
    ResponseDetail detail = late ? ResponseDetail.NONE : plannedDetail;
    long at = late ? deadlineNanos : schedule.nowNanos() + durationNanos;
    schedule.schedule(at, to -> ended(to, attempt, outcome, at - attempt.sentAtNanos, detail));
  }

  private void ended(
      RoutingEventHandler to,
      SentAttempt attempt,
      AttemptOutcome outcome,
      long durationNanos,
      ResponseDetail detail) {
    List<SentAttempt> openAttempts = open.getOrDefault(attempt.requestId, List.of());
    if (!openAttempts.contains(attempt)) {
      return;
    }
    openAttempts.remove(attempt);
    if (openAttempts.isEmpty()) {
      open.remove(attempt.requestId);
    }
    recorded.count("outcome " + outcome);
    recorded.count("detail " + detail);
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
