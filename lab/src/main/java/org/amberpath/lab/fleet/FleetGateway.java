package org.amberpath.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.leadership.HealthCheckCoordinator.HealthCheckOutcome;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointHealthStatus;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.ResponseDetail;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.RoutingEventHandler;
import org.amberpath.routing.RoutingEvents;

/**
 * One gateway of a {@link VirtualFleet}: the real {@link RequestRouter} over simulated connections.
 */
public final class FleetGateway implements RoutingEvents, RoutingActions {
  private static final long TICK_NANOS = 100 * Simulation.NANOS_PER_MILLI;
  private static final long MIN_ONE_WAY_DELAY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long MAX_EXTRA_ONE_WAY_DELAY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long RETURNED_DURATION_NANOS =
      (long) (VirtualFleet.WORK_SECONDS * Simulation.NANOS_PER_SECOND);

  /** Any duration serves here: the router uses the duration of returned attempts only. */
  private static final long OTHER_DURATION_NANOS = 2 * Simulation.NANOS_PER_SECOND;

  private final VirtualFleet fleet;
  private final VirtualScheduler scheduler;
  private final int index;
  private final RoutingConfig config;
  private final ClientTraffic traffic;
  private final FleetTasks tasks;
  private final List<Consumer<RoutingEventHandler>> pendingEvents = new ArrayList<>();
  private final Map<Long, Long> keysByRequest = new HashMap<>();
  private final Map<Long, Integer> attemptsByRequest = new HashMap<>();
  private final Set<String> openAttempts = new HashSet<>();
  private List<Consumer<RoutingEventHandler>> currentRound = List.of();
  private RequestRouter router;
  private boolean running;
  private boolean roundScheduled;
  private long incarnation;
  private long lastRequestId;

  FleetGateway(VirtualFleet fleet, int index, RoutingConfig config) {
    this.fleet = fleet;
    scheduler = fleet.scheduler();
    this.index = index;
    this.config = config;
    traffic = new ClientTraffic(fleet, this);
    tasks = new FleetTasks(fleet, this);
  }

  int index() {
    return index;
  }

  boolean isRunning() {
    return running;
  }

  ClientTraffic traffic() {
    return traffic;
  }

  FleetTasks tasks() {
    return tasks;
  }

  /** Starts the gateway without any state; it admits requests immediately. */
  void start() {
    start(OpeningPolicy.AT_ONCE);
  }

  /**
   * Starts the gateway without any state after all gateways have lost power; it admits requests
   * according to the planned opening policy.
   */
  public void startAfterPowerLoss() {
    start(fleet.plan().openingPolicy());
  }

  private void start(OpeningPolicy policy) {
    running = true;
    incarnation++;
    router = new RequestRouter(config);
    tasks.onGatewayStarted();
    traffic.onGatewayStarted(policy);
    enqueue(this::listAllEndpoints);
    traffic.onEndpointsListed(policy);
    tick();
  }

  /** Crashes the gateway: it loses all state, and its clients retry. */
  public void crash() {
    running = false;
    incarnation++;
    openAttempts.clear();
    pendingEvents.clear();
    roundScheduled = false;
    tasks.onGatewayCrashed();
    traffic.onGatewayCrashed();
  }

  private void tick() {
    long nowNanos = scheduler.nowNanos();
    tasks.tick(nowNanos);
    traffic.tick(nowNanos);
    scheduleInIncarnation(TICK_NANOS, this::tick);
  }

  /** Returns a new id for a request for a part. */
  long newRequestId(long key) {
    long id = ++lastRequestId;
    keysByRequest.put(id, key);
    return id;
  }

  // ---- Events.

  private void listAllEndpoints(RoutingEventHandler events) {
    events.endpointListStarted(EndpointListKind.FULL);
    fleet
        .caches()
        .forEach(
            cache ->
                listEndpoint(
                    events,
                    cache,
                    cache.isDown() ? EndpointState.GONE : EndpointState.UP,
                    cache.startedAtNanos()));
    events.endpointListCompleted();
  }

  /** Notifies the router of a change of one cache. */
  void endpointChanged(FleetCache cache, EndpointState state, long startedAtNanos) {
    enqueue(
        events -> {
          events.endpointListStarted(EndpointListKind.CHANGES);
          listEndpoint(events, cache, state, startedAtNanos);
          events.endpointListCompleted();
        });
  }

  private static void listEndpoint(
      RoutingEventHandler events, FleetCache cache, EndpointState state, long startedAtNanos) {
    events.endpointListed(
        new EndpointDescription(
            cache.index(),
            "10.0.0." + cache.index() + ":90",
            LabSettings.ZONE,
            cache.kind(),
            0,
            state,
            cache.capacity(),
            startedAtNanos));
  }

  /**
   * Adds an event to the next round of decisions of the router; ignored while the gateway is down.
   */
  void enqueue(Consumer<RoutingEventHandler> event) {
    if (!running) {
      return;
    }
    pendingEvents.add(event);
    if (!roundScheduled) {
      roundScheduled = true;
      scheduleInIncarnation(
          0,
          () -> {
            roundScheduled = false;
            currentRound = List.copyOf(pendingEvents);
            pendingEvents.clear();
            router.decide(scheduler.nowNanos(), this, this);
          });
    }
  }

  /** Runs a task after a delay, unless the gateway has crashed or restarted by then. */
  private void scheduleInIncarnation(long delayNanos, Runnable task) {
    long scheduledIncarnation = incarnation;
    scheduler.scheduleAfter(
        delayNanos,
        () -> {
          if (incarnation == scheduledIncarnation) {
            task.run();
          }
        });
  }

  @Override
  public void replayTo(RoutingEventHandler events) {
    currentRound.forEach(event -> event.accept(events));
  }

  // ---- Actions.

  private long drawOneWayDelayNanos() {
    return MIN_ONE_WAY_DELAY_NANOS + fleet.random().nextLong(MAX_EXTRA_ONE_WAY_DELAY_NANOS);
  }

  @Override
  public void sendAttempt(AttemptCommand command) {
    long requestId = command.requestId();
    int attempt = attemptsByRequest.merge(requestId, 1, Integer::sum) - 1;
    CacheRequest request =
        new CacheRequest(
            this,
            requestId,
            attempt,
            keysByRequest.get(requestId),
            (command.options() & AttemptCommand.CACHED_ONLY) != 0,
            command.rank() > 0,
            fleet.caches().get(command.source()),
            tasks.isSynthetic(requestId));
    openAttempts.add(attemptKey(requestId, attempt));
    scheduler.scheduleAfter(
        drawOneWayDelayNanos(),
        () -> fleet.caches().get(command.endpoint()).requestReceived(request));
    scheduler.schedule(
        command.deadlineNanos(),
        () ->
            endAttempt(request, command.endpoint(), AttemptOutcome.TIMED_OUT, ResponseDetail.NONE));
  }

  private static String attemptKey(long requestId, int attempt) {
    return requestId + "/" + attempt;
  }

  /** Called when a cache sends its answer; the answer arrives after a random network delay. */
  void attemptAnswered(CacheRequest request, AttemptOutcome outcome, ResponseDetail detail) {
    scheduler.scheduleAfter(drawOneWayDelayNanos(), () -> endAttempt(request, -1, outcome, detail));
  }

  private void endAttempt(
      CacheRequest request, int cache, AttemptOutcome outcome, ResponseDetail detail) {
    long requestId = request.requestId();
    if (!openAttempts.remove(attemptKey(requestId, request.attempt()))) {
      return;
    }
    boolean returned = outcome == AttemptOutcome.SUCCEEDED;
    if (returned) {
      traffic.onAnswered(requestId);
    }
    if (returned || outcome == AttemptOutcome.NOT_CACHED) {
      tasks.onAnswered(requestId);
    }
    enqueue(
        events ->
            events.attemptEnded(
                new AttemptResult(
                    requestId,
                    request.attempt(),
                    cache,
                    outcome,
                    returned ? RETURNED_DURATION_NANOS : OTHER_DURATION_NANOS,
                    returned || (!traffic.isOpen(requestId) && !tasks.isSynthetic(requestId)),
                    detail)));
  }

  @Override
  public void reject(long requestId, long retryAfterNanos) {
    traffic.onRejected(requestId, retryAfterNanos);
    fail(requestId);
  }

  @Override
  public void fail(long requestId) {
    traffic.onFailed(requestId);
    tasks.endSynthetic(
        requestId,
        attemptsByRequest.containsKey(requestId)
            ? HealthCheckOutcome.SILENT
            : HealthCheckOutcome.NOT_SENT);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    openAttempts.remove(attemptKey(requestId, attempt));
    enqueue(
        events ->
            events.attemptEnded(
                new AttemptResult(
                    requestId,
                    attempt,
                    0,
                    AttemptOutcome.CANCELLED,
                    0,
                    true,
                    ResponseDetail.NONE)));
  }

  @Override
  public void scheduleTimer(long delayNanos, String handle) {
    scheduleInIncarnation(delayNanos, () -> enqueue(events -> events.timerFired(handle)));
  }

  @Override
  public void subscribeEndpoints() {}

  @Override
  public void endpointHealthChanged(int cache, EndpointHealthStatus status) {
    tasks.endpointHealthChanged(cache, status);
  }

  @Override
  public void endpointWarmingUp(int cache, long untilNanos) {
    tasks.endpointWarmingUp(cache, untilNanos);
  }
}
