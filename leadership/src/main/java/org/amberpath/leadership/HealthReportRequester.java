package org.amberpath.leadership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.amberpath.leadership.HealthCheckCoordinator.ReportRequest;

/**
 * Each gateway's side of centralized health checks: the endpoints that it suspects, the gateway
 * that it requests checks from, and which reports it accepts.
 *
 * <p>Bounds: {@value HealthCheckCoordinator#MAX_ENDPOINTS} suspects, and as many endpoints whose
 * last report is stored; further suspects are checked by this gateway alone.
 */
final class HealthReportRequester {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The number of candidates that are asked in turn while the leader is not known. */
  private static final int MAX_CANDIDATES = 3;

  /**
   * The minimum pause between a request and the next one, if a new suspect brings the next one
   * forward.
   */
  private static final long NEW_SUSPECT_PAUSE_NANOS = 50 * NANOS_PER_MILLI;

  /** The longest assumed travel time of an unsolicited report. */
  private static final long MAX_REPORT_DELAY_NANOS = 1000 * NANOS_PER_MILLI;

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  private final HealthCheckIntervals intervals;
  private final Set<String> suspects = new TreeSet<>();

  /** Whether the last accepted report on an endpoint said that it is silent. */
  private final Map<String, Boolean> reportedSilent =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > HealthCheckCoordinator.MAX_ENDPOINTS;
        }
      };

  private final FencingGuard fencingGuard = new FencingGuard();

  /** The gateway that reported last; empty if no leader is known. */
  private String leader = "";

  private long requestedAtNanos = NEVER_NANOS;
  private long nextRequestNanos;
  private long reportedAtNanos = NEVER_NANOS;
  private boolean lastRequestAnswered = true;
  private int nextCandidate;
  private int nextSuspect;

  HealthReportRequester(HealthCheckIntervals intervals) {
    this.intervals = intervals;
  }

  void endpointSuspected(long nowNanos, String endpoint) {
    if (suspects.size() < HealthCheckCoordinator.MAX_ENDPOINTS && suspects.add(endpoint)) {
      nextRequestNanos =
          Math.min(
              nextRequestNanos, Math.max(nowNanos, requestedAtNanos + NEW_SUSPECT_PAUSE_NANOS));
    }
  }

  void endpointTrusted(String endpoint) {
    suspects.remove(endpoint);
  }

  Set<String> suspects() {
    return suspects;
  }

  /**
   * Returns the leader to notify that an endpoint responds to this gateway; empty if the last
   * report did not call the endpoint silent, or if reports are no longer trusted.
   */
  String endpointResponded(long nowNanos, String endpoint) {
    boolean contradicts = Boolean.TRUE.equals(reportedSilent.remove(endpoint));
    return contradicts && isReportTrusted(nowNanos) ? leader : "";
  }

  boolean isReportTrusted(long nowNanos) {
    return intervals.isReportTrusted(nowNanos - reportedAtNanos);
  }

  /** Returns whether a request is due, and if so schedules the next one an interval later. */
  boolean tryStartRequest(long nowNanos) {
    if (suspects.isEmpty() || nowNanos < nextRequestNanos) {
      return false;
    }
    nextRequestNanos = nowNanos + intervals.requestIntervalNanos();
    return true;
  }

  /**
   * Creates the request that is due, to the gateway that reported last or else to a candidate.
   * Returns empty if there is no other gateway.
   */
  Optional<ReportRequest> nextRequest(long nowNanos, Supplier<List<String>> candidates) {
    List<String> others = candidates.get();
    if (others.isEmpty()) {
      return Optional.empty();
    }
    if (!lastRequestAnswered) {
      leader = "";
    }
    boolean leaderPresent = others.contains(leader);
    String recipient =
        leaderPresent
            ? leader
            : others.get(nextCandidate++ % Math.min(MAX_CANDIDATES, others.size()));
    requestedAtNanos = nowNanos;
    lastRequestAnswered = false;
    if (!leaderPresent) {
      // This candidate may not be the leader, so the next candidate is asked soon.
      nextRequestNanos =
          nowNanos + HealthCheckIntervals.MIN_REQUEST_INTERVAL_NANOS / MAX_CANDIDATES;
    }
    return Optional.of(new ReportRequest(recipient, requestedAtNanos, nextSuspects()));
  }

  private List<String> nextSuspects() {
    List<String> all = List.copyOf(suspects);
    List<String> selected = new ArrayList<>();
    for (int index = 0;
        index < Math.min(HealthCheckCoordinator.MAX_ENDPOINTS_PER_MESSAGE, all.size());
        index++) {
      selected.add(all.get(nextSuspect++ % all.size()));
    }
    return selected;
  }

  /**
   * Processes reports and returns the accepted ones; empty if fencing rejects the leader's term.
   *
   * @param requestNanos when the request was made that the reports answer; 0 for unsolicited
   *     reports
   */
  Optional<Map<String, HealthReport>> reportReceived(
      long nowNanos, String from, long term, long requestNanos, Map<String, HealthReport> reports) {
    if (!fencingGuard.tryAdmit(HealthCheckCoordinator.TASK, term, from)) {
      return Optional.empty();
    }
    boolean answersLast = requestNanos == requestedAtNanos;
    if (answersLast) {
      lastRequestAnswered = true;
      nextRequestNanos =
          Math.max(nextRequestNanos, requestedAtNanos + intervals.requestIntervalNanos());
    }
    boolean answersLastOrUnsolicited = answersLast || requestNanos == 0;
    if (answersLastOrUnsolicited) {
      leader = from;
      reportedAtNanos = nowNanos;
    }
    // The age of a reported response grows by the longest time that the report may have
    // travelled.
    long addedAgeNanos = answersLast ? nowNanos - requestNanos : MAX_REPORT_DELAY_NANOS;
    Map<String, HealthReport> accepted = new TreeMap<>();
    reports.forEach(
        (endpoint, report) -> {
          if (report.ageNanos() >= 0
              && (!report.responded()
                  || (answersLastOrUnsolicited && suspects.contains(endpoint)))) {
            reportedSilent.put(endpoint, !report.responded());
            accepted.put(endpoint, report.responded() ? report.agedBy(addedAgeNanos) : report);
          }
        });
    return Optional.of(accepted);
  }

  long highestTerm() {
    return fencingGuard.highestTerm(HealthCheckCoordinator.TASK);
  }
}
