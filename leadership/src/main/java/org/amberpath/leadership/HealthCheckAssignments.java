package org.amberpath.leadership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amberpath.leadership.HealthCheckCoordinator.HealthCheckOutcome;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;

/**
 * The leader's side of centralized health checks: the endpoints that gateways have requested checks
 * of, and the checks in flight.
 *
 * <p>Bounds: {@value HealthCheckCoordinator#MAX_ENDPOINTS} endpoints, {@value #MAX_IN_FLIGHT}
 * checks in flight.
 */
final class HealthCheckAssignments {
  private static final int MAX_IN_FLIGHT = 8;

  private final HealthCheckIntervals intervals;
  private final Map<String, EndpointHealthCheck> checks = new LinkedHashMap<>();
  private int inFlight;

  HealthCheckAssignments(HealthCheckIntervals intervals) {
    this.intervals = intervals;
  }

  /**
   * Registers a gateway's request to check an endpoint. Returns empty if the endpoint is new and
   * the maximum number of endpoints is reached.
   */
  Optional<EndpointHealthCheck> registerRequest(long nowNanos, String endpoint, String requester) {
    checks.values().removeIf(check -> !check.isInFlight() && !isRequested(nowNanos, check));
    EndpointHealthCheck check = checks.get(endpoint);
    if (check == null) {
      if (checks.size() >= HealthCheckCoordinator.MAX_ENDPOINTS) {
        return Optional.empty();
      }
      check = new EndpointHealthCheck();
      checks.put(endpoint, check);
    }
    check.requestReceived(nowNanos, requester);
    return Optional.of(check);
  }

  private boolean isRequested(long nowNanos, EndpointHealthCheck check) {
    return intervals.isRequestValid(check.requestAgeNanos(nowNanos));
  }

  /**
   * Starts the checks that are due, and returns their endpoints; each check is in flight until
   * {@link #checkEnded}.
   */
  List<String> startDueChecks(long nowNanos) {
    List<String> due = new ArrayList<>();
    checks.forEach(
        (endpoint, check) -> {
          if (inFlight < MAX_IN_FLIGHT && isRequested(nowNanos, check) && check.isDue(nowNanos)) {
            check.checkStarted(nowNanos);
            inFlight++;
            due.add(endpoint);
          }
        });
    return due;
  }

  /** Records the outcome of a check. Returns whether the next broadcast is due at once. */
  boolean checkEnded(long nowNanos, String endpoint, HealthCheckOutcome outcome) {
    inFlight = Math.max(0, inFlight - 1);
    EndpointHealthCheck check = checks.get(endpoint);
    return check != null && check.checkEnded(nowNanos, outcome, intervals.maxPauseNanos());
  }

  /**
   * Records that another gateway received a response from an endpoint. Returns whether that changes
   * the result.
   */
  boolean peerReceivedResponse(long nowNanos, String endpoint) {
    EndpointHealthCheck check = checks.get(endpoint);
    return check != null && check.peerReceivedResponse(nowNanos);
  }

  /** Returns the endpoints that broadcasts include. */
  List<String> broadcastEndpoints(long nowNanos) {
    List<String> endpoints = new ArrayList<>();
    checks.forEach(
        (endpoint, check) -> {
          if (check.isBroadcast() && isRequested(nowNanos, check)) {
            endpoints.add(endpoint);
          }
        });
    return endpoints;
  }

  /** Returns the last result of an endpoint that {@link #broadcastEndpoints} has returned. */
  HealthReport report(long nowNanos, String endpoint) {
    return checks.get(endpoint).report(nowNanos);
  }

  boolean isIdle() {
    return inFlight == 0;
  }

  /** Removes all endpoints without a check in flight, because this gateway does not lead. */
  void clear() {
    checks.values().removeIf(check -> !check.isInFlight());
  }
}
