package org.amberpath.lab.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.leadership.CachePrefetch;
import org.amberpath.leadership.HealthCheckCoordinator;
import org.amberpath.leadership.HealthCheckCoordinator.HealthCheckOutcome;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.amberpath.routing.EndpointHealthStatus;
import org.amberpath.routing.RecentRequests;
import org.amberpath.routing.RequestDetails;

/**
 * The part of one gateway in the tasks that gateway 0 carries out for the fleet: health checks of
 * ejected caches, and prefetching into caches that warm up. Both send synthetic requests.
 */
final class FleetTasks {
  private static final long SYNTHETIC_TIMEOUT_NANOS = 500 * Simulation.NANOS_PER_MILLI;
  private static final long MIN_PEER_DELAY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long MAX_EXTRA_PEER_DELAY_NANOS = 4 * Simulation.NANOS_PER_MILLI;
  private static final int RECENT_OBJECTS = 256;
  private static final int LEADER = 0;
  private static final int ANY_CACHE = -1;

  private final VirtualFleet fleet;
  private final FleetGateway gateway;
  private final VirtualScheduler scheduler;
  private final Map<Long, Consumer<HealthCheckOutcome>> syntheticRequests = new HashMap<>();
  private HealthCheckCoordinator healthChecks = new HealthCheckCoordinator();
  private CachePrefetch prefetch = new CachePrefetch();
  private RecentRequests<Long, Long> recentKeys = new RecentRequests<>(RECENT_OBJECTS);
  private boolean centralized;

  FleetTasks(VirtualFleet fleet, FleetGateway gateway) {
    this.fleet = fleet;
    this.gateway = gateway;
    scheduler = fleet.scheduler();
  }

  void onGatewayStarted() {
    healthChecks = new HealthCheckCoordinator();
    prefetch = new CachePrefetch();
    recentKeys = new RecentRequests<>(RECENT_OBJECTS);
    centralized = false;
  }

  void onGatewayCrashed() {
    syntheticRequests.clear();
  }

  /** Records that a client has requested a part; synthetic requests reuse the recorded parts. */
  void recordRequestedKey(long key) {
    recentKeys.add(key, key);
  }

  boolean isSynthetic(long requestId) {
    return syntheticRequests.containsKey(requestId);
  }

  /** Called when a cache has answered a synthetic request. */
  void onAnswered(long requestId) {
    endSynthetic(requestId, HealthCheckOutcome.ANSWERED);
  }

  /** Ends a synthetic request with an outcome; does nothing if the request is not synthetic. */
  void endSynthetic(long requestId, HealthCheckOutcome outcome) {
    Consumer<HealthCheckOutcome> completion = syntheticRequests.remove(requestId);
    if (completion != null) {
      completion.accept(outcome);
    }
  }

  private boolean leadsHealthChecks() {
    return fleet.plan().ledTasks().includesHealthChecks() && gateway.index() == LEADER;
  }

  private boolean leadsPrefetch() {
    return fleet.plan().ledTasks().includesPrefetch() && gateway.index() == LEADER;
  }

  void endpointHealthChanged(int cache, EndpointHealthStatus status) {
    String name = Integer.toString(cache);
    String recipient =
        status == EndpointHealthStatus.RESPONSIVE
            ? healthChecks.endpointResponded(scheduler.nowNanos(), name)
            : "";
    if (!recipient.isEmpty()) {
      sendToPeer(
          Integer.parseInt(recipient),
          peer -> peer.healthChecks.endpointsResponsive(scheduler.nowNanos(), List.of(name)));
    }
    healthChecks.healthChanged(scheduler.nowNanos(), name, status != EndpointHealthStatus.SUSPECT);
  }

  void endpointWarmingUp(int cache, long untilNanos) {
    prefetch.endpointWarmingUp(scheduler.nowNanos(), Integer.toString(cache), untilNanos);
  }

  void tick(long nowNanos) {
    if (fleet.plan().ledTasks().includesHealthChecks()) {
      requestReport(nowNanos);
      if (leadsHealthChecks()) {
        startHealthChecks();
        broadcastReport(nowNanos);
      }
      updateCentralized();
    }
    if (leadsPrefetch()) {
      prefetch.tick();
      startPrefetch();
    }
  }

  private List<String> gatewayNames() {
    return fleet.gateways().stream().map(each -> Integer.toString(each.index())).toList();
  }

  private void requestReport(long nowNanos) {
    HealthCheckCoordinator.ReportRequest request =
        healthChecks.nextReportRequest(
            nowNanos,
            fleet.gateways().size(),
            () ->
                gatewayNames().stream()
                    .filter(name -> !name.equals(Integer.toString(gateway.index())))
                    .toList(),
            leadsHealthChecks());
    if (request != null) {
      sendToPeer(
          Integer.parseInt(request.recipient()),
          peer -> peer.reportRequested(gateway.index(), request));
    }
  }

  private void broadcastReport(long nowNanos) {
    Map<String, HealthReport> report = healthChecks.broadcastReport(nowNanos);
    if (!report.isEmpty()) {
      healthChecks
          .broadcastRecipients(nowNanos, gatewayNames())
          .forEach(
              name -> sendToPeer(Integer.parseInt(name), peer -> peer.reportReceived(0, report)));
    }
  }

  private void sendToPeer(int index, Consumer<FleetTasks> delivery) {
    scheduler.scheduleAfter(
        MIN_PEER_DELAY_NANOS + fleet.random().nextLong(MAX_EXTRA_PEER_DELAY_NANOS),
        () -> delivery.accept(fleet.gateways().get(index).tasks()));
  }

  private void updateCentralized() {
    boolean nowCentralized = healthChecks.isCentralized(scheduler.nowNanos(), leadsHealthChecks());
    if (nowCentralized != centralized) {
      centralized = nowCentralized;
      gateway.enqueue(events -> events.healthChecksDelegated(nowCentralized));
    }
  }

  private void reportRequested(int requester, HealthCheckCoordinator.ReportRequest request) {
    if (leadsHealthChecks()) {
      Map<String, HealthReport> report =
          healthChecks.reportRequested(
              scheduler.nowNanos(), Integer.toString(requester), request.endpoints());
      startHealthChecks();
      sendToPeer(requester, peer -> peer.reportReceived(request.requestedAtNanos(), report));
    }
  }

  private void reportReceived(long requestedAtNanos, Map<String, HealthReport> report) {
    Map<String, HealthReport> accepted =
        healthChecks.reportReceived(
            scheduler.nowNanos(), Integer.toString(LEADER), 1, requestedAtNanos, report);
    updateCentralized();
    accepted.forEach(
        (cache, health) ->
            gateway.enqueue(
                events ->
                    events.healthReported(
                        Integer.parseInt(cache), health.responded(), health.ageNanos())));
  }

  private void startHealthChecks() {
    for (String cache : healthChecks.dueHealthChecks(scheduler.nowNanos())) {
      startSynthetic(
          recentKeys.latest(),
          Integer.parseInt(cache),
          outcome -> healthChecks.healthCheckEnded(scheduler.nowNanos(), cache, outcome));
    }
  }

  private void startPrefetch() {
    while (prefetch.tryStartRequest(scheduler.nowNanos())) {
      Long key = recentKeys.nextInPass();
      if (key == null) {
        recentKeys.startPass();
        prefetch.passEnded(scheduler.nowNanos());
        return;
      }
      startSynthetic(
          key,
          ANY_CACHE,
          outcome -> {
            prefetch.requestEnded();
            startPrefetch();
          });
    }
  }

  private void startSynthetic(long key, int cache, Consumer<HealthCheckOutcome> completion) {
    long id = gateway.newRequestId(key);
    syntheticRequests.put(id, completion);
    RequestDetails details =
        new RequestDetails(
            id,
            0,
            ObjectPopularity.object(key),
            0,
            ObjectPopularity.part(key),
            SYNTHETIC_TIMEOUT_NANOS,
            VirtualFleet.REQUEST_KILOBYTES,
            false);
    gateway.enqueue(events -> events.syntheticRequestReceived(details, cache));
    scheduler.scheduleAfter(
        SYNTHETIC_TIMEOUT_NANOS,
        () -> {
          if (isSynthetic(id)) {
            endSynthetic(id, HealthCheckOutcome.SILENT);
            gateway.enqueue(events -> events.clientDisconnected(id));
          }
        });
  }
}
