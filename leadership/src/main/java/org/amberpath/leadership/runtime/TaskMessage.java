package org.amberpath.leadership.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;

/**
 * A message about a task between gateways, other than a lease message.
 *
 * @param term the term of the leader that sends it; of HIGHER_TERM_SEEN the highest term seen
 * @param requestNanos of REQUEST: when it was made, by the sender's clock; of REPORT: that time of
 *     the request that it answers, 0 for an unsolicited report
 * @param reports results by endpoint; those of a REQUEST only name the endpoints
 */
record TaskMessage(
    Kind kind, String task, long term, long requestNanos, Map<String, HealthReport> reports) {
  /** The kinds of message, in the order of their numbers on the wire. */
  enum Kind {
    /** To the leader: endpoints that are to be health-checked. */
    REQUEST,
    /** To the leader: an endpoint that was reported silent responds to the sender. */
    RESPONSIVE,
    /** From the leader: results of its health checks. */
    REPORT,
    /** To a leader: its term was refused, because a higher one was seen. */
    HIGHER_TERM_SEEN,
    /** From a leader: it has stopped, with nothing in flight. */
    STOPPED
  }

  /** Creates a message with a term only. */
  static TaskMessage of(Kind kind, String task, long term) {
    return new TaskMessage(kind, task, term, 0, Map.of());
  }

  /** Creates a request for reports. */
  static TaskMessage request(String task, long requestNanos, List<String> endpoints) {
    Map<String, HealthReport> none = new TreeMap<>();
    endpoints.forEach(endpoint -> none.put(endpoint, new HealthReport(false, -1)));
    return new TaskMessage(Kind.REQUEST, task, 0, requestNanos, none);
  }

  List<String> endpoints() {
    return new ArrayList<>(reports.keySet());
  }
}
