package org.amberpath.registry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The endpoints of a registry, and which of them is asked first. Their order begins as a random one
 * of the seed, so that gateways do not all begin with the first one of their lists. Times are
 * nanoseconds.
 */
final class RegistryEndpointSelector {
  private static final long MS = 1_000_000;

  /** All endpoints together are tried within one more heartbeat's time, however many are silent. */
  private static final long MAX_FAILOVER_NANOS = 50 * MS;

  /** While nobody answers, no endpoint's backoff lasts longer. */
  private static final long MAX_BACKOFF_OUT_OF_CONTACT_NANOS = 1000 * MS;

  /** An endpoint that is slower than the quickest one by more than this is asked later. */
  private static final long LATENCY_TOLERANCE_NANOS = 25 * MS;

  private static final int OVERDUE_WEIGHT = 8;
  private static final int OUT_OF_CONTACT_WEIGHT = 4;
  private static final int FAILING_WEIGHT = 2;
  private static final int SLOW_WEIGHT = 1;

  private final List<RegistryEndpoint> endpoints = new ArrayList<>();
  private final long failoverNanos;

  /** So many endpoints, none of which was tried. */
  RegistryEndpointSelector(int count, SplittableRandom random) {
    failoverNanos =
        count < 2
            ? HeartbeatMonitor.PERIOD_NANOS
            : Math.min(MAX_FAILOVER_NANOS, HeartbeatMonitor.PERIOD_NANOS / (count - 1));
    for (int index = 0; index < count; index++) {
      endpoints.add(new RegistryEndpoint(index, random, failoverNanos));
    }
    for (int left = count; left > 1; left--) {
      endpoints.add(endpoints.remove(random.nextInt(left)));
    }
  }

  /** All endpoints, in the order of the seed. */
  List<RegistryEndpoint> all() {
    return endpoints;
  }

  int count() {
    return endpoints.size();
  }

  /** After how long without an answer another endpoint is asked. */
  long failoverNanos() {
    return failoverNanos;
  }

  /** Those that may be asked, best first: in contact, not failing, quick. */
  List<RegistryEndpoint> ready(long nowNanos) {
    List<RegistryEndpoint> ready = new ArrayList<>(endpoints);
    ready.removeIf(endpoint -> !endpoint.allowsRequest(nowNanos));
    long quickestNanos =
        ready.stream()
            .filter(endpoint -> endpoint.isInContact(nowNanos))
            .mapToLong(endpoint -> endpoint.averageLatencyNanos)
            .min()
            .orElse(0);
    ready.sort(Comparator.comparingInt(endpoint -> rank(endpoint, nowNanos, quickestNanos)));
    return ready;
  }

  private static int rank(RegistryEndpoint endpoint, long nowNanos, long quickestNanos) {
    return (endpoint.isHeartbeatOverdue(nowNanos) ? OVERDUE_WEIGHT : 0)
        + (endpoint.isInContact(nowNanos) ? 0 : OUT_OF_CONTACT_WEIGHT)
        + (endpoint.requestBackoff.isFailing() ? FAILING_WEIGHT : 0)
        + (endpoint.averageLatencyNanos > quickestNanos + LATENCY_TOLERANCE_NANOS
            ? SLOW_WEIGHT
            : 0);
  }

  /**
   * Those that may be asked for a list: who answered a heartbeat last is the likeliest to answer.
   */
  List<RegistryEndpoint> readyForList(long nowNanos) {
    List<RegistryEndpoint> ready = ready(nowNanos);
    ready.sort(
        Comparator.comparing(
                (RegistryEndpoint endpoint) -> endpoint.lastLatencyNanos > failoverNanos)
            .thenComparingLong(endpoint -> -endpoint.heartbeatAnsweredAtNanos));
    return ready;
  }

  boolean anyHeartbeatOverdue(long nowNanos) {
    return endpoints.stream().anyMatch(endpoint -> endpoint.isHeartbeatOverdue(nowNanos));
  }

  int openWatchCount() {
    return (int) endpoints.stream().filter(RegistryEndpoint::hasOpenWatch).count();
  }

  /** How many watches are open or were asked for. */
  long watchCount() {
    return endpoints.stream().filter(endpoint -> endpoint.watch != null).count();
  }

  /** Whether most endpoints showed this cluster in their last answers. */
  boolean isMajorityOf(String clusterId) {
    long showing =
        endpoints.stream().filter(endpoint -> endpoint.clusterId.equals(clusterId)).count();
    return showing * 2 > endpoints.size();
  }

  /** Nobody answers: backoffs are cut short, but for those that need an operator. */
  void shortenBackoffs(long nowNanos) {
    for (RegistryEndpoint endpoint : endpoints) {
      if (!endpoint.needsOperator) {
        endpoint.requestBackoff.bringForward(nowNanos, MAX_BACKOFF_OUT_OF_CONTACT_NANOS);
      }
    }
  }

  /** Settings were read anew: each endpoint may be asked at once. */
  void resetBackoffs() {
    endpoints.forEach(RegistryEndpoint::resetBackoff);
  }
}
