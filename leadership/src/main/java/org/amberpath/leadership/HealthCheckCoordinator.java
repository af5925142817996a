package org.amberpath.leadership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The task of health-checking ejected and suspect endpoints, once for the fleet.
 *
 * <p>A gateway that suspects an endpoint requests a report from the leader ({@link
 * #nextReportRequest}), which checks it ({@link #dueHealthChecks}) and reports how long ago it
 * responded, or was checked in vain. While reports arrive, gateways leave health checks to the
 * leader ({@link #isCentralized}). Once several gateways suspect an endpoint and the leader's
 * checks get no response either, all gateways are told ({@link #broadcastReport}), since where each
 * sees little each would find it out late. What a report is worth against a gateway's own
 * observations is decided by its router.
 *
 * <p>Reports carry the leader's term; fencing refuses those of older terms. Bounds: {@value
 * #MAX_ENDPOINTS} endpoints each way, {@value #MAX_NAMED} a message. Times are nanoseconds of this
 * process's monotonic clock.
 */
public final class HealthCheckCoordinator {
  /** The task's name. */
  public static final String TASK = "probe";

  /** How many endpoints a message names. */
  public static final int MAX_NAMED = 10;

  static final int MAX_ENDPOINTS = 64;

  /**
   * A request for reports.
   *
   * @param requestedAtNanos comes back with the answer
   */
  public record ReportRequest(String recipient, long requestedAtNanos, List<String> endpoints) {}

  /**
   * The result of an endpoint's last health check.
   *
   * @param ageNanos how long ago it responded, or was sent the check in vain; -1 for none yet
   */
  public record HealthReport(boolean responded, long ageNanos) {
    HealthReport older(long nanos) {
      return new HealthReport(responded, ageNanos + nanos);
    }
  }

  /** How a health check ended. */
  public enum HealthCheckOutcome {
    /** The endpoint responded. */
    ANSWERED,
    /** It was sent, and no response came in time. */
    SILENT,
    /** The router let none pass. */
    NOT_SENT
  }

  private final HealthCheckPauses pauses = new HealthCheckPauses();
  private final HealthReportRequester requester = new HealthReportRequester(pauses);
  private final HealthCheckAssignments assignments = new HealthCheckAssignments(pauses);
  private final HealthReportBroadcast broadcast = new HealthReportBroadcast();

  // ---- Every gateway.

  /**
   * The router's opinion of an endpoint has changed.
   *
   * @param healthy whether it is neither ejected nor suspect
   */
  public void healthChanged(long nowNanos, String endpoint, boolean healthy) {
    if (healthy) {
      requester.trusted(endpoint);
    } else {
      requester.suspected(nowNanos, endpoint);
    }
  }

  /**
   * An endpoint responds to this gateway. Guards against a leader that can't reach it, and has
   * reported it silent to all.
   *
   * @return the leader to be told of it; empty for none
   */
  public String endpointResponded(long nowNanos, String endpoint) {
    return requester.responded(nowNanos, endpoint);
  }

  /** Whether this gateway suspects any endpoint. */
  public boolean hasSuspects() {
    return !requester.suspects().isEmpty();
  }

  /**
   * The report request that is due.
   *
   * @param gateways how many there are, this one included
   * @param candidates the others, in {@link CandidateOrder}; asked for only when needed
   * @param leading whether this gateway leads the task: then it checks for itself
   * @return null for none
   */
  public ReportRequest nextReportRequest(
      long nowNanos, int gateways, Supplier<List<String>> candidates, boolean leading) {
    pauses.fleetSizeChanged(gateways);
    if (!requester.tryStartRequest(nowNanos)) {
      return null;
    }
    if (leading) {
      for (String endpoint : requester.suspects()) {
        assignments.request(nowNanos, endpoint, "");
      }
      return null;
    }
    return requester.request(nowNanos, candidates).orElse(null);
  }

  /**
   * A leader's reports. A response counts only in answer to the last request or to none, and is
   * taken for as old as it may be.
   *
   * @param requestNanos the request that they answer; 0 for none
   * @return the reports that count, with their ages by this clock; null where fencing refuses all
   */
  public Map<String, HealthReport> reportReceived(
      long nowNanos, String from, long term, long requestNanos, Map<String, HealthReport> reports) {
    return requester.reportReceived(nowNanos, from, term, requestNanos, reports).orElse(null);
  }

  /** The highest term seen, to be sent with a refusal. */
  public long highestTerm() {
    return requester.highestTerm();
  }

  /** Whether a leader, this gateway or another, makes the health checks of this gateway. */
  public boolean isCentralized(long nowNanos, boolean leading) {
    return leading || requester.isReportTrusted(nowNanos);
  }

  // ---- The leader.

  /** A gateway's request: its endpoints are checked from now on. Returns what is known so far. */
  public Map<String, HealthReport> reportRequested(
      long nowNanos, String requestedBy, List<String> endpoints) {
    Map<String, HealthReport> reports = new TreeMap<>();
    for (String endpoint : firstNamed(endpoints)) {
      assignments
          .request(nowNanos, endpoint, requestedBy)
          .ifPresent(check -> reports.put(endpoint, check.report(nowNanos)));
    }
    return reports;
  }

  /** The health checks to be sent now, each in flight until {@link #healthCheckEnded}. */
  public List<String> dueHealthChecks(long nowNanos) {
    return assignments.startDue(nowNanos);
  }

  /** Another gateway has responses from these: they are not silent for all. */
  public void endpointsResponsive(long nowNanos, List<String> endpoints) {
    for (String endpoint : firstNamed(endpoints)) {
      if (assignments.respondedElsewhere(nowNanos, endpoint)) {
        broadcast.changed(nowNanos);
      }
    }
  }

  /** The outcome of a health check; pauses grow while there is no response. */
  public void healthCheckEnded(long nowNanos, String endpoint, HealthCheckOutcome outcome) {
    if (assignments.ended(nowNanos, endpoint, outcome)) {
      broadcast.changed(nowNanos);
    }
  }

  /** The reports for the {@link #broadcastRecipients} of this tick. */
  public Map<String, HealthReport> broadcastReport(long nowNanos) {
    Map<String, HealthReport> reports = new TreeMap<>();
    for (String endpoint : broadcast.select(assignments.forAll(nowNanos))) {
      reports.put(endpoint, assignments.report(nowNanos, endpoint));
    }
    return reports;
  }

  /** Which of the gateways present are sent the report in this tick. */
  public List<String> broadcastRecipients(long nowNanos, List<String> present) {
    return broadcast.nextRecipients(nowNanos, present);
  }

  /** Whether no health check is in flight: the task may be handed over. */
  public boolean isIdle() {
    return assignments.isIdle();
  }

  /** This gateway does not lead: what it knows as the leader is forgotten. */
  public void leadershipLost() {
    assignments.clear();
    broadcast.clear();
  }

  private static List<String> firstNamed(List<String> endpoints) {
    return endpoints.subList(0, Math.min(MAX_NAMED, endpoints.size()));
  }
}
