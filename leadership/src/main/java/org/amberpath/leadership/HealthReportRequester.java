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
 * Every gateway's part: which endpoints it suspects, which gateway it asks to check them, and what
 * a report is worth.
 *
 * <p>Bounds: {@value HealthCheckCoordinator#MAX_ENDPOINTS} suspects, and as many endpoints last
 * reported on; a suspect without room is checked by this gateway alone.
 */
final class HealthReportRequester {
  private static final long MS = 1_000_000;

  /** The leader is not known: so many gateways are asked in turn. */
  private static final int MAX_CANDIDATES = 3;

  /** The least pause after a request before a new suspect is asked for. */
  private static final long NEW_SUSPECT_PAUSE_NANOS = 50 * MS;

  /** The longest that a report without a request may have travelled. */
  private static final long MAX_TRAVEL_NANOS = 1000 * MS;

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  private final HealthCheckPauses pauses;
  private final Set<String> suspects = new TreeSet<>();

  /** Whether the last report on an endpoint was of silence. */
  private final Map<String, Boolean> reportedSilent =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > HealthCheckCoordinator.MAX_ENDPOINTS;
        }
      };

  private final FencingGuard fence = new FencingGuard();

  /** Who has reported last; empty for none that is known. */
  private String leader = "";

  private long requestedAtNanos = NEVER_NANOS;
  private long nextRequestNanos;
  private long reportedAtNanos = NEVER_NANOS;
  private boolean lastRequestAnswered = true;
  private int nextCandidate;
  private int nextSuspect;

  HealthReportRequester(HealthCheckPauses pauses) {
    this.pauses = pauses;
  }

  void suspected(long nowNanos, String endpoint) {
    if (suspects.size() < HealthCheckCoordinator.MAX_ENDPOINTS && suspects.add(endpoint)) {
      nextRequestNanos =
          Math.min(
              nextRequestNanos, Math.max(nowNanos, requestedAtNanos + NEW_SUSPECT_PAUSE_NANOS));
    }
  }

  void trusted(String endpoint) {
    suspects.remove(endpoint);
  }

  Set<String> suspects() {
    return suspects;
  }

  /** Whom to tell that an endpoint responds here; empty where nobody reported it silent. */
  String responded(long nowNanos, String endpoint) {
    boolean contradicts = Boolean.TRUE.equals(reportedSilent.remove(endpoint));
    return contradicts && isReportTrusted(nowNanos) ? leader : "";
  }

  boolean isReportTrusted(long nowNanos) {
    return pauses.isTrusted(nowNanos - reportedAtNanos);
  }

  /** Whether a request is due; the next one is, an interval later. */
  boolean tryStartRequest(long nowNanos) {
    if (suspects.isEmpty() || nowNanos < nextRequestNanos) {
      return false;
    }
    nextRequestNanos = nowNanos + pauses.requestIntervalNanos();
    return true;
  }

  /** The request that is due: to the gateway that reported last, else to a candidate. */
  Optional<ReportRequest> request(long nowNanos, Supplier<List<String>> candidates) {
    List<String> others = candidates.get();
    if (others.isEmpty()) {
      return Optional.empty();
    }
    if (!lastRequestAnswered) {
      leader = "";
    }
    boolean known = others.contains(leader);
    String recipient =
        known ? leader : others.get(nextCandidate++ % Math.min(MAX_CANDIDATES, others.size()));
    requestedAtNanos = nowNanos;
    lastRequestAnswered = false;
    if (!known) {
      // Another candidate may lead.
      nextRequestNanos = nowNanos + HealthCheckPauses.MIN_REQUEST_INTERVAL_NANOS / MAX_CANDIDATES;
    }
    return Optional.of(new ReportRequest(recipient, requestedAtNanos, nextSuspects()));
  }

  private List<String> nextSuspects() {
    List<String> all = List.copyOf(suspects);
    List<String> named = new ArrayList<>();
    for (int index = 0; index < Math.min(HealthCheckCoordinator.MAX_NAMED, all.size()); index++) {
      named.add(all.get(nextSuspect++ % all.size()));
    }
    return named;
  }

  /**
   * A report; empty where a higher term was seen.
   *
   * @param requestNanos the request that it answers; 0 for none
   */
  Optional<Map<String, HealthReport>> reportReceived(
      long nowNanos, String from, long term, long requestNanos, Map<String, HealthReport> reports) {
    if (!fence.tryAdmit(HealthCheckCoordinator.TASK, term, from)) {
      return Optional.empty();
    }
    boolean answersLast = requestNanos == requestedAtNanos;
    if (answersLast) {
      lastRequestAnswered = true;
      nextRequestNanos =
          Math.max(nextRequestNanos, requestedAtNanos + pauses.requestIntervalNanos());
    }
    boolean current = answersLast || requestNanos == 0;
    if (current) {
      leader = from;
      reportedAtNanos = nowNanos;
    }
    // A response that was reported is older by what the report may have travelled.
    long addedAgeNanos = answersLast ? nowNanos - requestNanos : MAX_TRAVEL_NANOS;
    Map<String, HealthReport> accepted = new TreeMap<>();
    reports.forEach(
        (endpoint, report) -> {
          if (report.ageNanos() >= 0
              && (!report.responded() || (current && suspects.contains(endpoint)))) {
            reportedSilent.put(endpoint, !report.responded());
            accepted.put(endpoint, report.responded() ? report.older(addedAgeNanos) : report);
          }
        });
    return Optional.of(accepted);
  }

  long highestTerm() {
    return fence.highestTerm(HealthCheckCoordinator.TASK);
  }
}
