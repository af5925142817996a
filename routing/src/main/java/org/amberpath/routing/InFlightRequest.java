package org.amberpath.routing;

import java.util.ArrayList;
import java.util.List;

/** A request between its arrival and the end of its last attempt. Times are nanoseconds. */
final class InFlightRequest {
  /**
   * Who made the request: a client, or the gateway by itself, to check an endpoint or to fill one
   * that has started.
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

  /** Endpoints that no retry goes to or through. */
  final List<Endpoint> excludedEndpoints = new ArrayList<>(2);

  Purpose purpose = Purpose.CLIENT;

  /** An attempt without a response for so long counts as overdue. */
  long patienceNanos;

  /** The rank at which its response is cached. */
  int rank = SegmentAdmission.NOT_CACHED;

  /** How many attempts have not ended. */
  int openAttempts;

  /** Whether its response is never cached. */
  boolean uncacheable;

  /** Whether its size is known. */
  boolean sizeKnown;

  /**
   * Whether its patience follows from a size or an earlier response, so that its response can be
   * judged as late.
   */
  boolean durationKnown;

  /** Whether the origin has failed it: another parent would only ask the same origin again. */
  boolean originFailed;

  /** Whether its response has started to stream to the client. */
  boolean streaming;

  /** Whether its final answer is decided. */
  boolean done;

  /** The first attempt that may have executed; null for none. */
  Attempt firstExecuted;

  /** A request that has just arrived, before its route is selected. */
  InFlightRequest(RequestDetails details, TrafficClass trafficClass, long nowNanos) {
    id = details.id();
    object = details.object();
    group = details.group();
    segment = SegmentAdmission.segmentOf(details.part());
    deadlineNanos = nowNanos + details.timeLeftNanos();
    this.trafficClass = trafficClass;
  }

  /** Whether this gateway made it by itself, on behalf of the fleet. */
  boolean isSynthetic() {
    return purpose != Purpose.CLIENT;
  }

  /** How long there is to its deadline, in nanoseconds. */
  long timeLeftNanos(long nowNanos) {
    return deadlineNanos - nowNanos;
  }

  /** Records an attempt that has ended and may have executed the request. */
  void recordExecuted(Attempt attempt) {
    if (firstExecuted == null || attempt.sentAtNanos() < firstExecuted.sentAtNanos()) {
      firstExecuted = attempt;
    }
  }
}
