package org.amberpath.routing;

import java.util.ArrayList;
import java.util.List;

/** A request between its arrival and the end of its last attempt. Times are nanoseconds. */
final class InFlightRequest {
  /**
   * Who wants the answer: a client, or the fleet, to check an endpoint or to fill one that has
   * started.
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

  /** Endpoints that no further attempt goes to or through. */
  final List<Endpoint> triedEndpoints = new ArrayList<>(2);

  Purpose purpose = Purpose.CLIENT;

  /** An attempt without an answer for so long counts as overdue. */
  long patienceNanos;

  /** The rank that its answer is cached at. */
  int rank = SegmentAdmission.NOT_CACHED;

  /** How many attempts have not ended. */
  int openAttempts;

  /** Whether its answer is never cached. */
  boolean uncacheable;

  /** Whether its size is known. */
  boolean sizeKnown;

  /**
   * Whether its patience follows from a size or an earlier answer, so that its answer can be called
   * late.
   */
  boolean durationKnown;

  /** Whether the origin has failed on it: another parent would only ask the same origin again. */
  boolean originFailed;

  /** Whether its answer has begun to go out. */
  boolean streaming;

  /** Whether its final answer is decided. */
  boolean done;

  /** The first attempt that may have had its effect; null for none. */
  Attempt firstExecuted;

  /** A request that has just arrived, before it is known how it is routed. */
  InFlightRequest(RequestDetails details, TrafficClass trafficClass, long nowNanos) {
    id = details.id();
    object = details.object();
    group = details.group();
    segment = SegmentAdmission.segmentOf(details.part());
    deadlineNanos = nowNanos + details.timeLeftNanos();
    this.trafficClass = trafficClass;
  }

  /** Whether this gateway asks by itself, on behalf of the fleet. */
  boolean isSynthetic() {
    return purpose != Purpose.CLIENT;
  }

  /** How long there is to its deadline, in nanoseconds. */
  long timeLeftNanos(long nowNanos) {
    return deadlineNanos - nowNanos;
  }

  /** Notes an attempt that has ended and may have had the request's effect. */
  void recordExecuted(Attempt attempt) {
    if (firstExecuted == null || attempt.sentAtNanos() < firstExecuted.sentAtNanos()) {
      firstExecuted = attempt;
    }
  }
}
