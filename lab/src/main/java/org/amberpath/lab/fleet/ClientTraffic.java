package org.amberpath.lab.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.recovery.RecoveryRamp;
import org.amberpath.routing.RequestDetails;

/**
 * The clients of one gateway, which send on a schedule whatever comes back, and the gateway's
 * opening to them after its start. A client whose request is rejected sends it again until its time
 * is over.
 */
final class ClientTraffic {
  /** One request of a client, under all ids that it had. */
  private record ClientRequest(long key, long startedAtNanos, int retries) {}

  private static final long REQUEST_TIMEOUT_NANOS = 2 * Simulation.NANOS_PER_SECOND;
  private static final long NO_RETRY_NANOS = 100 * Simulation.NANOS_PER_MILLI;
  private static final long DEFAULT_RETRY_NANOS = 300 * Simulation.NANOS_PER_MILLI;
  private static final long LATENCY_OBJECTIVE_NANOS = 400 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_STAGGER_NANOS = 8 * Simulation.NANOS_PER_SECOND;
  private static final long NO_ARRIVALS_NANOS = 3 * Simulation.NANOS_PER_SECOND;
  private static final double MIN_TRAFFIC_SHARE = 0.25;
  private static final double TRAFFIC_SHARE_SPREAD = 1.5;

  private final VirtualFleet fleet;
  private final FleetGateway gateway;
  private final VirtualScheduler scheduler;
  private final SplittableRandom random;

  /** As a part of the mean: some gateways get several times as much as others. */
  private final double trafficShare;

  private final Map<Long, ClientRequest> open = new HashMap<>();
  private RecoveryRamp recoveryRamp;
  private long opensAtNanos;

  ClientTraffic(VirtualFleet fleet, FleetGateway gateway) {
    this.fleet = fleet;
    this.gateway = gateway;
    scheduler = fleet.scheduler();
    random = fleet.random();
    trafficShare = MIN_TRAFFIC_SHARE + TRAFFIC_SHARE_SPREAD * random.nextDouble();
  }

  /** The gateway has started: draws when it opens. */
  void gatewayStarted(OpeningPolicy policy) {
    opensAtNanos =
        policy == OpeningPolicy.STAGGERED
            ? scheduler.nowNanos() + random.nextLong(MAX_STAGGER_NANOS)
            : scheduler.nowNanos();
    recoveryRamp =
        new RecoveryRamp(random.nextLong(), Simulation.NANOS_PER_SECOND, scheduler.nowNanos());
  }

  /** The gateway knows the caches that are there, and what its part of them bears. */
  void endpointsListed(OpeningPolicy policy) {
    double edgeCapacity =
        fleet.caches().stream()
            .filter(cache -> cache.kind().equals(LabSettings.EDGE))
            .mapToDouble(FleetCache::capacity)
            .sum();
    double warmUpCapacity =
        edgeCapacity
            / VirtualFleet.WORK_SECONDS
            * LabSettings.WARM_UP_INITIAL_SHARE
            / fleet.plan().gateways();
    recoveryRamp.startupCompleted(
        scheduler.nowNanos(), policy == OpeningPolicy.BY_RETURNS, warmUpCapacity);
  }

  /** The gateway has lost power: its clients send again. */
  void gatewayCrashed() {
    List<ClientRequest> interrupted = List.copyOf(open.values());
    open.clear();
    interrupted.forEach(request -> retryLater(request, DEFAULT_RETRY_NANOS));
  }

  void tick(long nowNanos) {
    recoveryRamp.tick(nowNanos);
  }

  boolean isOpen(long requestId) {
    return open.containsKey(requestId);
  }

  /** Schedules the next request, and so on. */
  void scheduleArrivals() {
    double requestsPerSecond = VirtualFleet.REQUESTS_PER_SECOND * trafficShare;
    scheduler.scheduleAfter(
        (long)
            (-Math.log(1 - random.nextDouble()) / requestsPerSecond * Simulation.NANOS_PER_SECOND),
        () -> {
          if (scheduler.nowNanos() < fleet.endNanos() - NO_ARRIVALS_NANOS) {
            long key = fleet.popularity().drawKey(random);
            requestArrived(new ClientRequest(key, scheduler.nowNanos(), 0));
            scheduleArrivals();
          }
        });
  }

  private void requestArrived(ClientRequest request) {
    if (request.retries == 0) {
      fleet.figures().count("asked", request.startedAtNanos);
    }
    if (!gateway.isRunning()) {
      retryLater(request, DEFAULT_RETRY_NANOS);
      return;
    }
    long nowNanos = scheduler.nowNanos();
    boolean further = ObjectPopularity.part(request.key) > 0;
    if (nowNanos < opensAtNanos || !recoveryRamp.tryAdmit(nowNanos, further)) {
      fleet.figures().count("turned_away", nowNanos);
      retryLater(
          request,
          nowNanos < opensAtNanos ? DEFAULT_RETRY_NANOS : recoveryRamp.retryAfterNanos(further));
      return;
    }
    long id = gateway.newRequestId(request.key);
    open.put(id, request);
    gateway.tasks().objectRequested(request.key);
    long deadlineNanos = request.startedAtNanos + REQUEST_TIMEOUT_NANOS;
    gateway.enqueue(
        events ->
            events.requestReceived(details(id, request.key, deadlineNanos - scheduler.nowNanos())));
    scheduler.schedule(
        deadlineNanos,
        () -> {
          if (open.remove(id) != null) {
            gateway.enqueue(events -> events.clientDisconnected(id));
          }
        });
  }

  private static RequestDetails details(long id, long key, long timeLeftNanos) {
    return new RequestDetails(
        id,
        0,
        ObjectPopularity.object(key),
        0,
        ObjectPopularity.part(key),
        timeLeftNanos,
        VirtualFleet.REQUEST_KILOBYTES,
        false);
  }

  private void retryLater(ClientRequest request, long delayNanos) {
    long deadlineNanos = request.startedAtNanos + REQUEST_TIMEOUT_NANOS;
    if (scheduler.nowNanos() + delayNanos < deadlineNanos - NO_RETRY_NANOS) {
      scheduler.scheduleAfter(
          delayNanos,
          () ->
              requestArrived(
                  new ClientRequest(request.key, request.startedAtNanos, request.retries + 1)));
    }
  }

  /** A request has its answer. */
  void answered(long requestId) {
    ClientRequest request = open.remove(requestId);
    if (request != null) {
      if (scheduler.nowNanos() - request.startedAtNanos <= LATENCY_OBJECTIVE_NANOS) {
        fleet.figures().count("good", request.startedAtNanos);
      }
      recoveryRamp.requestSucceeded();
    }
  }

  /** A request is rejected; a hint of 0 is none. */
  void rejected(long requestId, long retryAfterNanos) {
    ClientRequest request = open.remove(requestId);
    if (request != null) {
      fleet.figures().count("shed", scheduler.nowNanos());
      retryLater(request, retryAfterNanos > 0 ? retryAfterNanos : DEFAULT_RETRY_NANOS);
    }
  }

  /** A request has failed. */
  void failed(long requestId) {
    open.remove(requestId);
  }
}
