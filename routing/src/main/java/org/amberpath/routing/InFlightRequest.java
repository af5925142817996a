package org.amberpath.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of a request from its arrival until its last attempt has ended. Times are nanoseconds.
 */
final class InFlightRequest {
  /**
   * The purpose of a request: a client's request, or a synthetic request of this gateway that
   * checks an endpoint or prefetches into one that has started.
   */
  enum Purpose {
    CLIENT,
    HEALTH_CHECK,
    PREFETCH
  }

  final long id;
  final long object;
  final int group;
  final int segment;
  final TrafficClass trafficClass;
  final long deadlineNanos;
  final List<Attempt> attempts = new ArrayList<>(2);

  /** Endpoints that no retry is sent to or filled from. */
  final List<Endpoint> excludedEndpoints = new ArrayList<>(2);

  Purpose purpose = Purpose.CLIENT;

  /** The soft timeout: an attempt without a response for longer than this is overdue. */
  long softTimeoutNanos;

  /** Cache rank of the response. */
  int rank = SegmentAdmission.NOT_CACHED;

  /** Number of attempts that have not ended. */
  int openAttempts;

  /** Whether the response is never cached. */
  boolean uncacheable;

  /** Whether the response's duration is known from its size. */
  boolean durationKnownFromSize;

  /**
   * Whether the soft timeout derives from a size or an earlier response, so that the response's
   * latency can be judged.
   */
  boolean canJudgeLatency;

  /**
   * Whether the origin has failed the request; another parent would only fill from the same origin
   * again.
   */
  boolean originFailed;

  /** Whether the response has started to stream to the client. */
  boolean streaming;

  /** Whether the final response has been decided. */
  boolean finished;

  /**
   * The earliest sent attempt that has ended and may have executed the request; null if there is
   * none.
   */
  Attempt earliestExecuted;

  /** Creates the state of a request that has arrived, before its route is selected. */
  InFlightRequest(RequestDetails details, TrafficClass trafficClass, long nowNanos) {
    id = details.id();
    object = details.object();
    group = details.group();
    segment = SegmentAdmission.segmentOf(details.part());
    deadlineNanos = nowNanos + details.timeLeftNanos();
    this.trafficClass = trafficClass;
  }

  /** Whether this gateway made the request on behalf of the fleet. */
  boolean isSynthetic() {
    return purpose != Purpose.CLIENT;
  }

  /** Returns the time left until the request's deadline, in nanoseconds; negative after it. */
  long timeLeftNanos(long nowNanos) {
    return deadlineNanos - nowNanos;
  }

  /** Records an attempt that has ended and may have executed the request. */
  void recordExecuted(Attempt attempt) {
    if (earliestExecuted == null || attempt.sentAtNanos() < earliestExecuted.sentAtNanos()) {
      earliestExecuted = attempt;
    }
  }
}
