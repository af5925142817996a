package org.amberpath.leadership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amberpath.leadership.HealthCheckCoordinator.HealthCheckOutcome;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;

/**
 * The leader's part: which endpoints gateways have asked it to check, and which checks are in
 * flight.
 *
 * <p>Bounds: {@value HealthCheckCoordinator#MAX_ENDPOINTS} endpoints, {@value #MAX_IN_FLIGHT}
 * checks in flight.
 */
final class HealthCheckAssignments {
  private static final int MAX_IN_FLIGHT = 8;

  private final HealthCheckPauses pauses;
  private final Map<String, EndpointHealthCheck> checks = new LinkedHashMap<>();
  private int inFlight;

  HealthCheckAssignments(HealthCheckPauses pauses) {
    this.pauses = pauses;
  }

  /** Has an endpoint checked from now on; empty where there is no room for it. */
  Optional<EndpointHealthCheck> request(long nowNanos, String endpoint, String requester) {
    checks.values().removeIf(check -> !check.isInFlight() && !isRequested(nowNanos, check));
    EndpointHealthCheck check = checks.get(endpoint);
    if (check == null) {
      if (checks.size() >= HealthCheckCoordinator.MAX_ENDPOINTS) {
        return Optional.empty();
      }
      check = new EndpointHealthCheck();
      checks.put(endpoint, check);
    }
    check.requested(nowNanos, requester);
    return Optional.of(check);
  }

  private boolean isRequested(long nowNanos, EndpointHealthCheck check) {
    return pauses.isRequested(check.requestAgeNanos(nowNanos));
  }

  /** Starts the checks that are due, each until {@link #ended}. */
  List<String> startDue(long nowNanos) {
    List<String> due = new ArrayList<>();
    checks.forEach(
        (endpoint, check) -> {
          if (inFlight < MAX_IN_FLIGHT && isRequested(nowNanos, check) && check.isDue(nowNanos)) {
            check.started(nowNanos);
            inFlight++;
            due.add(endpoint);
          }
        });
    return due;
  }

  /** Takes the outcome of a check; true where all gateways are to learn of it. */
  boolean ended(long nowNanos, String endpoint, HealthCheckOutcome outcome) {
    inFlight = Math.max(0, inFlight - 1);
    EndpointHealthCheck check = checks.get(endpoint);
    return check != null && check.ended(nowNanos, outcome, pauses.maxPauseNanos());
  }

  /** Another gateway has a response; true where the leader's checks said otherwise. */
  boolean respondedElsewhere(long nowNanos, String endpoint) {
    EndpointHealthCheck check = checks.get(endpoint);
    return check != null && check.respondedElsewhere(nowNanos);
  }

  /** The endpoints that all gateways are to know of. */
  List<String> forAll(long nowNanos) {
    List<String> endpoints = new ArrayList<>();
    checks.forEach(
        (endpoint, check) -> {
          if (check.isForAll() && isRequested(nowNanos, check)) {
            endpoints.add(endpoint);
          }
        });
    return endpoints;
  }

  /** The last result of an endpoint that {@link #forAll} has named. */
  HealthReport report(long nowNanos, String endpoint) {
    return checks.get(endpoint).report(nowNanos);
  }

  boolean isIdle() {
    return inFlight == 0;
  }

  /** Forgets all but what is in flight: another process leads. */
  void clear() {
    checks.values().removeIf(check -> !check.isInFlight());
  }
}
