package org.amberpath.registry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Ranks the endpoints of a registry by the order in which requests go to them. The initial order is
 * a random one from the seed, so that gateways do not all begin with the first endpoint of their
 * lists. Times are nanoseconds.
 */
final class RegistryEndpointSelector {
  private static final long MS = 1_000_000;

  /**
   * Upper bound of the failover time. Failover through all endpoints takes at most one heartbeat
   * period, however many of them do not respond.
   */
  private static final long MAX_FAILOVER_NANOS = 50 * MS;

  /** Upper bound of an endpoint's backoff while no endpoint responds. */
  private static final long MAX_BACKOFF_OUT_OF_CONTACT_NANOS = 1000 * MS;

  /** An endpoint whose latency exceeds the lowest one by more than this ranks lower. */
  private static final long LATENCY_TOLERANCE_NANOS = 25 * MS;

  private static final int OVERDUE_WEIGHT = 8;
  private static final int OUT_OF_CONTACT_WEIGHT = 4;
  private static final int FAILING_WEIGHT = 2;
  private static final int SLOW_WEIGHT = 1;

  private final List<RegistryEndpoint> endpoints = new ArrayList<>();
  private final long failoverNanos;

  /** Creates this many endpoints, in random order. */
  RegistryEndpointSelector(int count, SplittableRandom random) {
    failoverNanos =
        count < 2
            ? HeartbeatMonitor.PERIOD_NANOS
            : Math.min(MAX_FAILOVER_NANOS, HeartbeatMonitor.PERIOD_NANOS / (count - 1));
    for (int index = 0; index < count; index++) {
      endpoints.add(new RegistryEndpoint(index, random, failoverNanos));
    }
    for (int remaining = count; remaining > 1; remaining--) {
      endpoints.add(endpoints.remove(random.nextInt(remaining)));
    }
  }

  List<RegistryEndpoint> all() {
    return endpoints;
  }

  int count() {
    return endpoints.size();
  }

  /** Time without a response after which another endpoint is asked. */
  long failoverNanos() {
    return failoverNanos;
  }

  /**
   * Returns the endpoints that may be asked, best first: those whose heartbeat is not overdue, then
   * by contact, recent failures and latency.
   */
  List<RegistryEndpoint> available(long nowNanos) {
    List<RegistryEndpoint> available = new ArrayList<>(endpoints);
    available.removeIf(endpoint -> !endpoint.allowsRequest(nowNanos));
    long lowestLatencyNanos =
        available.stream()
            .filter(endpoint -> endpoint.isInContact(nowNanos))
            .mapToLong(endpoint -> endpoint.averageLatencyNanos)
            .min()
            .orElse(0);
    available.sort(
        Comparator.comparingInt(endpoint -> rank(endpoint, nowNanos, lowestLatencyNanos)));
    return available;
  }

  private static int rank(RegistryEndpoint endpoint, long nowNanos, long lowestLatencyNanos) {
    return (endpoint.isHeartbeatOverdue(nowNanos) ? OVERDUE_WEIGHT : 0)
        + (endpoint.isInContact(nowNanos) ? 0 : OUT_OF_CONTACT_WEIGHT)
        + (endpoint.requestBackoff.isFailing() ? FAILING_WEIGHT : 0)
        + (endpoint.averageLatencyNanos > lowestLatencyNanos + LATENCY_TOLERANCE_NANOS
            ? SLOW_WEIGHT
            : 0);
  }

  /**
   * Returns the endpoints that may be asked for a list: those whose last heartbeat was fast first
   * and, among them, the one that responded to a heartbeat last, which is the likeliest to respond.
   */
  List<RegistryEndpoint> availableForList(long nowNanos) {
    List<RegistryEndpoint> available = available(nowNanos);
    available.sort(
        Comparator.comparing(
                (RegistryEndpoint endpoint) -> endpoint.lastLatencyNanos > failoverNanos)
            .thenComparingLong(endpoint -> -endpoint.heartbeatAnsweredAtNanos));
    return available;
  }

  boolean anyHeartbeatOverdue(long nowNanos) {
    return endpoints.stream().anyMatch(endpoint -> endpoint.isHeartbeatOverdue(nowNanos));
  }

  int openWatchCount() {
    return (int) endpoints.stream().filter(RegistryEndpoint::hasOpenWatch).count();
  }

  /** Number of watches that are open or were requested. */
  long watchCount() {
    return endpoints.stream().filter(endpoint -> endpoint.watch != null).count();
  }

  /** Whether the last responses of more than half of all endpoints carried this cluster id. */
  boolean isClusterOfMajority(String clusterId) {
    long matching =
        endpoints.stream().filter(endpoint -> endpoint.clusterId.equals(clusterId)).count();
    return matching * 2 > endpoints.size();
  }

  /**
   * Shortens the backoffs of all endpoints, except those whose failure needs an operator. The
   * session calls this while no heartbeat is answered.
   */
  void shortenBackoffs(long nowNanos) {
    for (RegistryEndpoint endpoint : endpoints) {
      if (!endpoint.needsOperator) {
        endpoint.requestBackoff.bringForward(nowNanos, MAX_BACKOFF_OUT_OF_CONTACT_NANOS);
      }
    }
  }

  /**
   * Clears all backoffs after a reload of the certificate and credential files, so that each
   * endpoint may be asked at once.
   */
  void resetBackoffs() {
    endpoints.forEach(RegistryEndpoint::resetBackoff);
  }
}
