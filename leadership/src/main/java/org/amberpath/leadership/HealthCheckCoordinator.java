package org.amberpath.leadership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The task of health-checking ejected and suspect endpoints: one leader performs the checks for the
 * fleet.
 *
 * <p>A gateway that suspects an endpoint requests a report from the leader ({@link
 * #nextReportRequest}). The leader checks the endpoint ({@link #dueHealthChecks}) and reports how
 * long ago it responded, or how long ago an unanswered check was sent. While reports arrive,
 * gateways leave health checks to the leader ({@link #isCentralized}). Once several gateways
 * suspect an endpoint and the leader's checks get no response either, the leader reports the
 * endpoint to all gateways ({@link #broadcastReport}), because gateways that each send few requests
 * would detect the failure late. Each gateway's router weighs a report against the gateway's own
 * observations.
 *
 * <p>Reports carry the leader's term; fencing rejects those of older terms. Bounds: {@value
 * #MAX_ENDPOINTS} suspects at each gateway, as many checked endpoints at the leader, {@value
 * #MAX_ENDPOINTS_PER_MESSAGE} endpoints per message. Times are nanoseconds of this process's
 * monotonic clock.
 */
public final class HealthCheckCoordinator {
  /** The task's name. */
  public static final String TASK = "probe";

  /** The maximum number of endpoints in a message. */
  public static final int MAX_ENDPOINTS_PER_MESSAGE = 10;

  static final int MAX_ENDPOINTS = 64;

  /**
   * A request for reports.
   *
   * @param requestedAtNanos when the request was made, by the requester's clock; the answer echoes
   *     it
   */
  public record ReportRequest(String recipient, long requestedAtNanos, List<String> endpoints) {}

  /**
   * The result of an endpoint's last health check.
   *
   * @param ageNanos how long ago the endpoint responded, or how long ago the unanswered check was
   *     sent; -1 if there is no result yet
   */
  public record HealthReport(boolean responded, long ageNanos) {
    HealthReport agedBy(long nanos) {
      return new HealthReport(responded, ageNanos + nanos);
    }
  }

  /** How a health check ended. */
  public enum HealthCheckOutcome {
    /** The endpoint responded. */
    ANSWERED,
    /** The check was sent, and no response arrived in time. */
    SILENT,
    /**
     * The check was not sent: the router did not admit it, or this gateway could not lead until its
     * end.
     */
    NOT_SENT
  }

  private final HealthCheckIntervals intervals = new HealthCheckIntervals();
  private final HealthReportRequester requester = new HealthReportRequester(intervals);
  private final HealthCheckAssignments assignments = new HealthCheckAssignments(intervals);
  private final HealthReportBroadcast broadcast = new HealthReportBroadcast();

  // ---- Every gateway.

  /**
   * Records a change of the router's health status of an endpoint.
   *
   * @param healthy whether the endpoint is neither ejected nor suspect
   */
  public void healthChanged(long nowNanos, String endpoint, boolean healthy) {
    if (healthy) {
      requester.endpointTrusted(endpoint);
    } else {
      requester.endpointSuspected(nowNanos, endpoint);
    }
  }

  /**
   * Records that an endpoint responds to this gateway. Guards against a leader that cannot reach an
   * endpoint and reports it as silent to all gateways.
   *
   * @return the leader to notify; empty if the last report did not call the endpoint silent, or if
   *     reports are no longer trusted
   */
  public String endpointResponded(long nowNanos, String endpoint) {
    return requester.endpointResponded(nowNanos, endpoint);
  }

  /** Whether this gateway suspects any endpoint. */
  public boolean hasSuspects() {
    return !requester.suspects().isEmpty();
  }

  /**
   * Returns the report request that is due.
   *
   * @param gateways the number of gateways, including this one
   * @param candidates supplies the other gateways in {@link CandidateOrder}; called only if a
   *     request is due
   * @param leading whether this gateway leads the task; it then registers its own suspects for
   *     checks
   * @return the request; null if there is none to send
   */
  public ReportRequest nextReportRequest(
      long nowNanos, int gateways, Supplier<List<String>> candidates, boolean leading) {
    intervals.fleetSizeChanged(gateways);
    if (!requester.tryStartRequest(nowNanos)) {
      return null;
    }
    if (leading) {
      for (String endpoint : requester.suspects()) {
        assignments.registerRequest(nowNanos, endpoint, "");
      }
      return null;
    }
    return requester.nextRequest(nowNanos, candidates).orElse(null);
  }

  /**
   * Processes a leader's reports. A response is accepted only if the reports answer the last
   * request or are unsolicited, and its age is increased by the longest time that the reports may
   * have travelled.
   *
   * @param requestNanos when the request was made that the reports answer; 0 for unsolicited
   *     reports
   * @return the accepted reports, with their ages at this gateway; null if fencing rejects all of
   *     them
   */
  public Map<String, HealthReport> reportReceived(
      long nowNanos, String from, long term, long requestNanos, Map<String, HealthReport> reports) {
    return requester.reportReceived(nowNanos, from, term, requestNanos, reports).orElse(null);
  }

  /** Returns the highest term seen, which a refusal reports. */
  public long highestTerm() {
    return requester.highestTerm();
  }

  /**
   * Returns whether a leader, this gateway or another, performs the health checks for this gateway.
   */
  public boolean isCentralized(long nowNanos, boolean leading) {
    return leading || requester.isReportTrusted(nowNanos);
  }

  // ---- The leader.

  /**
   * Registers a gateway's request to check endpoints. Returns the last results of those endpoints.
   */
  public Map<String, HealthReport> reportRequested(
      long nowNanos, String requestingGateway, List<String> endpoints) {
    Map<String, HealthReport> reports = new TreeMap<>();
    for (String endpoint : limitToMessage(endpoints)) {
      assignments
          .registerRequest(nowNanos, endpoint, requestingGateway)
          .ifPresent(check -> reports.put(endpoint, check.report(nowNanos)));
    }
    return reports;
  }

  /**
   * Starts the health checks that are due, and returns their endpoints; each check is in flight
   * until {@link #healthCheckEnded}.
   */
  public List<String> dueHealthChecks(long nowNanos) {
    return assignments.startDueChecks(nowNanos);
  }

  /**
   * Records that another gateway received responses from these endpoints, which are then reported
   * as responsive.
   */
  public void endpointsResponsive(long nowNanos, List<String> endpoints) {
    for (String endpoint : limitToMessage(endpoints)) {
      if (assignments.peerReceivedResponse(nowNanos, endpoint)) {
        broadcast.resultChanged(nowNanos);
      }
    }
  }

  /**
   * Records the outcome of a health check. The pauses between checks grow while there is no
   * response.
   */
  public void healthCheckEnded(long nowNanos, String endpoint, HealthCheckOutcome outcome) {
    if (assignments.checkEnded(nowNanos, endpoint, outcome)) {
      broadcast.resultChanged(nowNanos);
    }
  }

  /** Returns the reports to send to the {@link #broadcastRecipients} of this tick. */
  public Map<String, HealthReport> broadcastReport(long nowNanos) {
    Map<String, HealthReport> reports = new TreeMap<>();
    for (String endpoint : broadcast.selectEndpoints(assignments.broadcastEndpoints(nowNanos))) {
      reports.put(endpoint, assignments.report(nowNanos, endpoint));
    }
    return reports;
  }

  /** Returns which of the gateways present are to be sent the report in this tick. */
  public List<String> broadcastRecipients(long nowNanos, List<String> present) {
    return broadcast.nextRecipients(nowNanos, present);
  }

  /** Returns whether no health check is in flight, so that the task may be handed over. */
  public boolean isIdle() {
    return assignments.isIdle();
  }

  /** Discards the state of the leader's side, because this gateway does not lead. */
  public void leadershipLost() {
    assignments.clear();
    broadcast.clear();
  }

  private static List<String> limitToMessage(List<String> endpoints) {
    return endpoints.subList(0, Math.min(MAX_ENDPOINTS_PER_MESSAGE, endpoints.size()));
  }
}
