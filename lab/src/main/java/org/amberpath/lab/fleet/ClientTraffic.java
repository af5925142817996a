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
 * The clients of one gateway and the admission of their requests after a start of the gateway.
 * Clients send at random intervals (Poisson arrivals) whether or not earlier requests have been
 * answered. A client whose request is rejected retries until its timeout of {@value
 * #REQUEST_TIMEOUT_NANOS} ns.
 */
final class ClientTraffic {
  /** One request of a client, which gets a new request id with each retry. */
  private record ClientRequest(long key, long startedAtNanos, int retries) {}

  private static final long REQUEST_TIMEOUT_NANOS = 2 * Simulation.NANOS_PER_SECOND;

  /** A client retries only if more than this time is left before its deadline. */
  private static final long MIN_TIME_FOR_RETRY_NANOS = 100 * Simulation.NANOS_PER_MILLI;

  private static final long DEFAULT_RETRY_DELAY_NANOS = 300 * Simulation.NANOS_PER_MILLI;
  private static final long LATENCY_OBJECTIVE_NANOS = 400 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_STAGGER_NANOS = 8 * Simulation.NANOS_PER_SECOND;
  private static final long FINAL_PERIOD_WITHOUT_ARRIVALS_NANOS = 3 * Simulation.NANOS_PER_SECOND;
  private static final double MIN_TRAFFIC_SHARE = 0.25;
  private static final double TRAFFIC_SHARE_SPREAD = 1.5;

  private final VirtualFleet fleet;
  private final FleetGateway gateway;
  private final VirtualScheduler scheduler;
  private final SplittableRandom random;

  /**
   * The rate of these clients as a fraction of the mean over all gateways; gateways differ by up to
   * a factor of seven.
   */
  private final double trafficShare;

  private final Map<Long, ClientRequest> openRequests = new HashMap<>();
  private RecoveryRamp recoveryRamp;
  private long admitsFromNanos;

  ClientTraffic(VirtualFleet fleet, FleetGateway gateway) {
    this.fleet = fleet;
    this.gateway = gateway;
    scheduler = fleet.scheduler();
    random = fleet.random();
    trafficShare = MIN_TRAFFIC_SHARE + TRAFFIC_SHARE_SPREAD * random.nextDouble();
  }

  /**
   * Called when the gateway has started: draws the time at which it begins to admit requests, and
   * resets its admission ramp.
   */
  void onGatewayStarted(OpeningPolicy policy) {
    admitsFromNanos =
        policy == OpeningPolicy.STAGGERED
            ? scheduler.nowNanos() + random.nextLong(MAX_STAGGER_NANOS)
            : scheduler.nowNanos();
    recoveryRamp =
        new RecoveryRamp(random.nextLong(), Simulation.NANOS_PER_SECOND, scheduler.nowNanos());
  }

  /**
   * Called when the gateway knows the listed caches: gives the ramp the request rate that this
   * gateway's share of the caches can serve at the start of their warm-up.
   */
  void onEndpointsListed(OpeningPolicy policy) {
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

  /** Called when the gateway has lost power: its clients retry their open requests. */
  void onGatewayCrashed() {
    List<ClientRequest> interrupted = List.copyOf(openRequests.values());
    openRequests.clear();
    interrupted.forEach(request -> scheduleRetry(request, DEFAULT_RETRY_DELAY_NANOS));
  }

  void tick(long nowNanos) {
    recoveryRamp.tick(nowNanos);
  }

  boolean isOpen(long requestId) {
    return openRequests.containsKey(requestId);
  }

  /** Schedules the arrival of the next request, which in turn schedules the one after it. */
  void scheduleArrivals() {
    double requestsPerSecond = VirtualFleet.REQUESTS_PER_SECOND * trafficShare;
    scheduler.scheduleAfter(
        (long)
            (-Math.log(1 - random.nextDouble()) / requestsPerSecond * Simulation.NANOS_PER_SECOND),
        () -> {
          if (scheduler.nowNanos() < fleet.endNanos() - FINAL_PERIOD_WITHOUT_ARRIVALS_NANOS) {
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
      scheduleRetry(request, DEFAULT_RETRY_DELAY_NANOS);
      return;
    }
    long nowNanos = scheduler.nowNanos();
    boolean continuesSession = ObjectPopularity.part(request.key) > 0;
    if (nowNanos < admitsFromNanos || !recoveryRamp.tryAdmit(nowNanos, continuesSession)) {
      fleet.figures().count("turned_away", nowNanos);
      scheduleRetry(
          request,
          nowNanos < admitsFromNanos
              ? DEFAULT_RETRY_DELAY_NANOS
              : recoveryRamp.retryAfterNanos(continuesSession));
      return;
    }
    long id = gateway.newRequestId(request.key);
    openRequests.put(id, request);
    gateway.tasks().recordRequestedKey(request.key);
    long deadlineNanos = request.startedAtNanos + REQUEST_TIMEOUT_NANOS;
    gateway.enqueue(
        events ->
            events.requestReceived(
                requestDetails(id, request.key, deadlineNanos - scheduler.nowNanos())));
    scheduler.schedule(
        deadlineNanos,
        () -> {
          if (openRequests.remove(id) != null) {
            gateway.enqueue(events -> events.clientDisconnected(id));
          }
        });
  }

  private static RequestDetails requestDetails(long id, long key, long timeLeftNanos) {
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

  private void scheduleRetry(ClientRequest request, long delayNanos) {
    long deadlineNanos = request.startedAtNanos + REQUEST_TIMEOUT_NANOS;
    if (scheduler.nowNanos() + delayNanos < deadlineNanos - MIN_TIME_FOR_RETRY_NANOS) {
      scheduler.scheduleAfter(
          delayNanos,
          () ->
              requestArrived(
                  new ClientRequest(request.key, request.startedAtNanos, request.retries + 1)));
    }
  }

  /**
   * Called when a request has been returned; counts it as good within the latency objective of
   * {@value #LATENCY_OBJECTIVE_NANOS} ns.
   */
  void onAnswered(long requestId) {
    ClientRequest request = openRequests.remove(requestId);
    if (request != null) {
      if (scheduler.nowNanos() - request.startedAtNanos <= LATENCY_OBJECTIVE_NANOS) {
        fleet.figures().count("good", request.startedAtNanos);
      }
      recoveryRamp.requestSucceeded();
    }
  }

  /**
   * Called when the router rejects a request.
   *
   * @param retryAfterNanos the delay after which the client is asked to retry; 0 for none, which
   *     selects the default delay
   */
  void onRejected(long requestId, long retryAfterNanos) {
    ClientRequest request = openRequests.remove(requestId);
    if (request != null) {
      fleet.figures().count("shed", scheduler.nowNanos());
      scheduleRetry(request, retryAfterNanos > 0 ? retryAfterNanos : DEFAULT_RETRY_DELAY_NANOS);
    }
  }

  /** Called when a request has failed; its client does not retry it. */
  void onFailed(long requestId) {
    openRequests.remove(requestId);
  }
}
