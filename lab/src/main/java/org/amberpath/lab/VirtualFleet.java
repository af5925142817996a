package org.amberpath.lab;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.amberpath.leadership.CachePrefetch;
import org.amberpath.leadership.HealthCheckCoordinator;
import org.amberpath.recovery.RecoveryRamp;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointHealthStatus;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.RecentRequests;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.ResponseDetail;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.RoutingEventHandler;
import org.amberpath.routing.RoutingEvents;

/**
 * A fleet of real decisions on the virtual clock among simulated caches, hubs and an origin, and
 * viewers that ask on a schedule. Tasks of the fleet, if any, are owned by gateway 0 all the time:
 * whether tenure holds is another model's matter. A scenario is a class on it.
 *
 * <p>Bounds: the GETs of one day, at {@value #REQUESTS_PER_SECOND} a second and gateway.
 */
public abstract class VirtualFleet {
  protected static final long NANOS_PER_MILLI = 1_000_000;
  protected static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  protected static final long EPOCH_NANOS = 1_700_000_000L * NANOS_PER_SECOND;
  protected static final int HUB_COUNT = 2;
  protected static final int REQUESTS_PER_SECOND = 10;
  protected static final double WORK_SECONDS = 0.05;
  private static final long REQUEST_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;
  private static final long LATENCY_OBJECTIVE_NANOS = 400 * NANOS_PER_MILLI;
  private static final long SYNTHETIC_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;
  private static final long MAX_STAGGER_NANOS = 8 * NANOS_PER_SECOND;
  private static final double REQUEST_KILOBYTES = 5000;
  private static final double UTILIZATION = 0.55;
  private static final double ZIPF_EXPONENT = 0.9;
  private static final int OBJECTS = 3000;
  private static final int PARTS_PER_OBJECT = 4;
  private static final int DEFAULT_RETRY_MILLIS = 300;
  private static final int BINS_PER_SECOND = 10;
  private static final int RECENT_REQUESTS = 256;

  /**
   * How a gateway opens after its start: all at once, at a time by its name, or by what comes back
   * in time.
   */
  public enum OpeningPolicy {
    AT_ONCE,
    STAGGERED,
    BY_RETURNS
  }

  /** What is to be played. */
  public record Plan(
      long seed,
      int gateways,
      int edgeCaches,
      boolean healthChecks,
      boolean prefetch,
      OpeningPolicy openingPolicy,
      double originCapacity) {
    /** One whose origin bears all, and whose gateways open at once. */
    public Plan(long seed, int gateways, int edgeCaches, boolean healthChecks, boolean prefetch) {
      this(seed, gateways, edgeCaches, healthChecks, prefetch, OpeningPolicy.AT_ONCE, 1);
    }
  }

  protected final Plan plan;
  protected final SplittableRandom random;
  protected final VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);

  /** Edges, then hubs, then the origin. */
  protected final List<SimulatedCache> caches = new ArrayList<>();

  protected final List<SimulatedGateway> gateways = new ArrayList<>();
  private final double[] cumulativePopularity = new double[OBJECTS];

  /** By second: GETs begun, returned within the objective, and what a scenario counts. */
  private final Map<String, long[]> countsBySecond = new TreeMap<>();

  private final long endNanos;
  private final int[] originFillBins;
  protected long peakWarmUpLoadPerMille;
  protected long warmUpOverloads;

  /** A fleet that plays for so many seconds. */
  protected VirtualFleet(Plan plan, int endSeconds) throws IOException {
    this.plan = plan;
    endNanos = endSeconds * NANOS_PER_SECOND;
    originFillBins = new int[(endSeconds + 10) * BINS_PER_SECOND];
    random = new SplittableRandom(plan.seed());
    double edgeWeight =
        plan.gateways() * REQUESTS_PER_SECOND * WORK_SECONDS / plan.edgeCaches() / UTILIZATION;
    double sum = 0;
    for (int index = 0; index < OBJECTS; index++) {
      sum += 1 / Math.pow(index + 1, ZIPF_EXPONENT);
      cumulativePopularity[index] = sum;
    }
    for (int index = 0; index < plan.edgeCaches(); index++) {
      caches.add(new SimulatedCache(index, LabSettings.EDGE, edgeWeight));
    }
    for (int index = 0; index < HUB_COUNT; index++) {
      caches.add(
          new SimulatedCache(caches.size(), LabSettings.HUB, edgeWeight * plan.edgeCaches()));
    }
    caches.add(
        new SimulatedCache(
            caches.size(),
            LabSettings.ORIGIN,
            edgeWeight * plan.edgeCaches() * plan.originCapacity()));
    for (int index = 0; index < plan.gateways(); index++) {
      gateways.add(
          new SimulatedGateway(
              index,
              LabSettings.options(random.nextLong(), null, plan.gateways()).routingConfig()));
    }
  }

  /** What happens, and when. */
  protected abstract void scheduleScenario();

  protected abstract Map<String, Double> figures();

  /** A GET has come to a cache. */
  protected void requestArrived(SimulatedCache cache, boolean synthetic) {}

  /** Figures, by name. */
  public final Map<String, Double> run() {
    for (SimulatedGateway gateway : gateways) {
      scheduler.schedule(
          EPOCH_NANOS + random.nextLong(100 * NANOS_PER_MILLI),
          () -> {
            gateway.start(false);
            gateway.scheduleArrivals();
          });
    }
    scheduleScenario();
    while (scheduler.runNext(EPOCH_NANOS + endNanos)) {
      // The condition does the work.
    }
    return figures();
  }

  /** Hubs have been there for long. */
  protected final void fillHubs() {
    for (long key = PARTS_PER_OBJECT; key < (OBJECTS + 1L) * PARTS_PER_OBJECT; key++) {
      for (SimulatedCache hub : caches.subList(plan.edgeCaches(), plan.edgeCaches() + HUB_COUNT)) {
        hub.storedKeys.add(key);
      }
    }
  }

  /** Of GETs begun in these seconds, the part that was returned within the objective. */
  protected final double goodShare(int fromSecond, int toSecond) {
    double begun = total("asked", fromSecond, toSecond);
    return begun == 0 ? 1 : total("good", fromSecond, toSecond) / begun;
  }

  protected final double total(String counter, int fromSecond, int toSecond) {
    double sum = 0;
    for (int second = fromSecond; second < toSecond; second++) {
      sum +=
          countsBySecond
              .getOrDefault(counter, new long[(int) (endNanos / NANOS_PER_SECOND) + 10])[second];
    }
    return sum;
  }

  /** The most fills that the origin was asked for in a tenth of a second, from a second on. */
  protected final int originFillPeak(int fromSecond) {
    return Arrays.stream(originFillBins, fromSecond * BINS_PER_SECOND, originFillBins.length)
        .max()
        .orElse(0);
  }

  /** How long from a second on until service stays at 0.95 of what it was before. */
  protected final double secondsUntilRestored(int fromSecond, int toSecond, double shareBefore) {
    double restoredAfter = toSecond - fromSecond;
    for (int second = toSecond - 1;
        second >= fromSecond && goodShare(second, second + 1) >= 0.95 * shareBefore;
        second--) {
      restoredAfter = second - fromSecond;
    }
    return restoredAfter;
  }

  protected final void countAt(String counter, long timeNanos) {
    long[] bins =
        countsBySecond.computeIfAbsent(
            counter, made -> new long[(int) (endNanos / NANOS_PER_SECOND) + 10]);
    bins[(int) Math.min(bins.length - 1, (timeNanos - EPOCH_NANOS) / NANOS_PER_SECOND)]++;
  }

  protected final void announceEndpoint(int endpoint, EndpointState state, long startedAtNanos) {
    for (SimulatedGateway gateway : gateways) {
      scheduler.schedule(
          scheduler.nowNanos() + random.nextLong(50 * NANOS_PER_MILLI),
          () ->
              gateway.enqueue(
                  events -> {
                    events.endpointListStarted(EndpointListKind.CHANGES);
                    gateway.listEndpoint(events, caches.get(endpoint), state, startedAtNanos);
                    events.endpointListCompleted();
                  }));
    }
  }

  // ---- Caches.

  /** What a gateway has asked of a cache. */
  private record CacheRequest(
      SimulatedGateway gateway,
      long requestId,
      int attempt,
      long key,
      boolean cachedOnly,
      boolean stores,
      SimulatedCache source,
      boolean synthetic) {}

  /** An edge cache, a hub or the origin. */
  protected final class SimulatedCache {
    public final int index;
    final String kind;
    final double capacity;
    final Set<Long> storedKeys = new HashSet<>();
    final ArrayDeque<Runnable> waitingTransfers = new ArrayDeque<>();
    private final Map<Long, List<Runnable>> fillsInProgress = new HashMap<>();
    final ArrayDeque<Long> recentArrivalsNanos = new ArrayDeque<>();
    public boolean hung;
    public boolean down;
    public long startedAtNanos;
    private long incarnation;
    private double activeTransfers;

    SimulatedCache(int index, String kind, double capacity) {
      this.index = index;
      this.kind = kind;
      this.capacity = capacity;
    }

    public void crash() {
      down = true;
      incarnation++;
      storedKeys.clear();
      fillsInProgress.clear();
      waitingTransfers.clear();
      activeTransfers = 0;
    }

    public void restart() {
      down = false;
      startedAtNanos = scheduler.nowNanos();
    }

    public void resume() {
      hung = false;
      waitingTransfers.clear();
      activeTransfers = 0;
      incarnation++;
    }

    /** Work for one transfer; what finds no place waits. */
    private void startTransfer(Runnable completed) {
      long scheduledIn = incarnation;
      Runnable transfer =
          () -> {
            activeTransfers++;
            scheduler.schedule(
                scheduler.nowNanos()
                    + (long) (WORK_SECONDS * NANOS_PER_SECOND * (0.8 + 0.4 * random.nextDouble())),
                () -> {
                  if (incarnation == scheduledIn && !hung) {
                    activeTransfers--;
                    if (!waitingTransfers.isEmpty()) {
                      waitingTransfers.poll().run();
                    }
                    completed.run();
                  }
                });
          };
      if (activeTransfers < Math.max(1, capacity)) {
        transfer.run();
      } else {
        waitingTransfers.add(transfer);
      }
    }

    void requestReceived(CacheRequest request) {
      long scheduledIn = incarnation;
      if (down) {
        request.gateway.attemptAnswered(
            request, AttemptOutcome.CONNECT_FAILED, ResponseDetail.NONE);
        return;
      }
      requestArrived(this, request.synthetic);
      checkWarmUpBound();
      if (hung) {
        return;
      }
      boolean hit = storedKeys.contains(request.key);
      if (startedAtNanos > 0 && !request.synthetic) {
        countAt(hit ? "cold_hit" : "cold_miss", scheduler.nowNanos());
      }
      if (!hit && request.cachedOnly) {
        request.gateway.attemptAnswered(request, AttemptOutcome.NOT_CACHED, ResponseDetail.NONE);
        return;
      }
      Runnable respond =
          () ->
              startTransfer(
                  () -> {
                    if (incarnation == scheduledIn && request.stores) {
                      storedKeys.add(request.key);
                    }
                    request.gateway.attemptAnswered(
                        request,
                        AttemptOutcome.SUCCEEDED,
                        hit ? ResponseDetail.HIT : ResponseDetail.FILLED);
                  });
      if (hit) {
        respond.run();
      } else {
        scheduler.schedule(
            scheduler.nowNanos() + NANOS_PER_MILLI,
            () -> request.source.fill(request.key, respond));
      }
    }

    void fill(long key, Runnable filled) {
      if (down || hung) {
        return;
      }
      SimulatedCache origin = caches.get(caches.size() - 1);
      if (storedKeys.contains(key) || this == origin) {
        if (this == origin) {
          countAt("origin", scheduler.nowNanos());
          originFillBins[
              (int)
                  Math.min(
                      originFillBins.length - 1,
                      (scheduler.nowNanos() - EPOCH_NANOS)
                          / (NANOS_PER_SECOND / BINS_PER_SECOND))]++;
        }
        startTransfer(filled);
      } else if (fillsInProgress.containsKey(key)) {
        fillsInProgress.get(key).add(filled); // Joins the fill that is under way.
      } else {
        List<Runnable> waiters = new ArrayList<>(List.of(filled));
        fillsInProgress.put(key, waiters);
        long scheduledIn = incarnation;
        scheduler.schedule(
            scheduler.nowNanos() + 20 * NANOS_PER_MILLI,
            () ->
                origin.fill(
                    key,
                    () -> {
                      if (incarnation == scheduledIn) {
                        storedKeys.add(key);
                        fillsInProgress.remove(key);
                        waiters.forEach(Runnable::run);
                      }
                    }));
      }
    }

    /**
     * How much of what it bears in the time that the site names it gets while cold, all gateways
     * together.
     */
    private void checkWarmUpBound() {
      double ramp =
          startedAtNanos == 0
              ? 1
              : Math.min(
                  1,
                  LabSettings.WARM_UP_INITIAL_SHARE
                      + (1 - LabSettings.WARM_UP_INITIAL_SHARE)
                          * (scheduler.nowNanos() - startedAtNanos)
                          / (LabSettings.WARM_UP_SECONDS * NANOS_PER_SECOND));
      recentArrivalsNanos.add(scheduler.nowNanos());
      while (recentArrivalsNanos.peek()
          < scheduler.nowNanos()
              - (long) (LabSettings.OVERLOAD_WINDOW_SECONDS * NANOS_PER_SECOND)) {
        recentArrivalsNanos.poll();
      }
      if (startedAtNanos > 0 && ramp < 1) {
        double allowed =
            LabSettings.OVERLOAD_MULTIPLE
                * ramp
                * capacity
                / WORK_SECONDS
                * LabSettings.OVERLOAD_WINDOW_SECONDS;
        peakWarmUpLoadPerMille =
            Math.max(
                peakWarmUpLoadPerMille,
                (long)
                    (1000 * recentArrivalsNanos.size() / (allowed + 3 * Math.sqrt(allowed) + 3)));
        warmUpOverloads +=
            recentArrivalsNanos.size() > allowed + 3 * Math.sqrt(allowed) + 3 ? 1 : 0;
      }
    }
  }

  // ---- Gateways.

  private record ClientRequest(long key, long startedAtNanos, int retries) {}

  private record RecentObject(long object, int part) {}

  /** A gateway: its decisions, its viewers, and what it does for the fleet. */
  protected final class SimulatedGateway implements RoutingEvents, RoutingActions {
    final int index;
    private final RoutingConfig config;
    private RequestRouter router;
    private RecoveryRamp recoveryRamp;
    private boolean running;
    private long incarnation;
    private long opensAtNanos;
    private final List<Consumer<RoutingEventHandler>> pendingEvents = new ArrayList<>();
    private List<Consumer<RoutingEventHandler>> currentRound = List.of();
    private boolean roundScheduled;
    private final Map<Long, ClientRequest> clientRequests = new HashMap<>();
    private final Map<Long, Consumer<HealthCheckCoordinator.HealthCheckOutcome>> syntheticRequests =
        new HashMap<>();
    private final Map<Long, Long> keysByRequest = new HashMap<>();
    private final Map<Long, Integer> attemptsByRequest = new HashMap<>();
    private final Set<String> openAttempts = new HashSet<>();
    private HealthCheckCoordinator healthChecks = new HealthCheckCoordinator();
    private CachePrefetch prefetch = new CachePrefetch();
    private RecentRequests<RecentObject, RecentObject> recentObjects =
        new RecentRequests<>(RECENT_REQUESTS);
    private boolean centralized;
    private long lastRequestId;

    /** Some gateways get several times the mean. */
    private final double trafficShare;

    SimulatedGateway(int index, RoutingConfig config) {
      this.index = index;
      this.config = config;
      trafficShare = 0.25 + 1.5 * random.nextDouble();
    }

    /** Starts with nothing, and with all others or not. */
    public void start(boolean afterPowerLoss) {
      running = true;
      incarnation++;
      router = new RequestRouter(config);
      healthChecks = new HealthCheckCoordinator();
      prefetch = new CachePrefetch();
      recentObjects = new RecentRequests<>(RECENT_REQUESTS);
      centralized = false;
      opensAtNanos =
          afterPowerLoss && plan.openingPolicy() == OpeningPolicy.STAGGERED
              ? scheduler.nowNanos() + random.nextLong(MAX_STAGGER_NANOS)
              : scheduler.nowNanos();
      recoveryRamp = new RecoveryRamp(random.nextLong(), NANOS_PER_SECOND, scheduler.nowNanos());
      enqueue(
          events -> {
            events.endpointListStarted(EndpointListKind.FULL);
            caches.forEach(
                cache ->
                    listEndpoint(
                        events,
                        cache,
                        cache.down ? EndpointState.GONE : EndpointState.UP,
                        cache.startedAtNanos));
            events.endpointListCompleted();
          });
      // Of what its part of the cold budgets bears it knows the caches that are there.
      double warmUpCapacity =
          caches.stream()
                  .filter(cache -> cache.kind.equals(LabSettings.EDGE))
                  .mapToDouble(cache -> cache.capacity)
                  .sum()
              / WORK_SECONDS
              * LabSettings.WARM_UP_INITIAL_SHARE
              / plan.gateways();
      recoveryRamp.startupCompleted(
          scheduler.nowNanos(),
          afterPowerLoss && plan.openingPolicy() == OpeningPolicy.BY_RETURNS,
          warmUpCapacity);
      tick();
    }

    /** Loses power: what it held is gone, its viewers ask again. */
    public void crash() {
      running = false;
      incarnation++;
      openAttempts.clear();
      pendingEvents.clear();
      roundScheduled = false;
      syntheticRequests.clear();
      List<ClientRequest> interrupted = List.copyOf(clientRequests.values());
      clientRequests.clear();
      interrupted.forEach(request -> retryLater(request, DEFAULT_RETRY_MILLIS * NANOS_PER_MILLI));
    }

    private void retryLater(ClientRequest request, long delayNanos) {
      if (scheduler.nowNanos() + delayNanos
          < request.startedAtNanos + REQUEST_TIMEOUT_NANOS - 100 * NANOS_PER_MILLI) {
        scheduler.schedule(
            scheduler.nowNanos() + delayNanos,
            () ->
                requestArrived(
                    new ClientRequest(request.key, request.startedAtNanos, request.retries + 1)));
      }
    }

    void listEndpoint(
        RoutingEventHandler events,
        SimulatedCache cache,
        EndpointState state,
        long startedAtNanos) {
      String address = "10.0.0." + cache.index + ":90";
      events.endpointListed(
          new EndpointDescription(
              cache.index,
              address,
              LabSettings.ZONE,
              cache.kind,
              0,
              state,
              cache.capacity,
              startedAtNanos));
    }

    void enqueue(Consumer<RoutingEventHandler> event) {
      if (!running) {
        return;
      }
      pendingEvents.add(event);
      if (!roundScheduled) {
        roundScheduled = true;
        scheduleHere(
            0,
            () -> {
              roundScheduled = false;
              currentRound = List.copyOf(pendingEvents);
              pendingEvents.clear();
              router.decide(scheduler.nowNanos(), this, this);
            });
      }
    }

    /** Something of this life. */
    private void scheduleHere(long delayNanos, Runnable task) {
      long scheduledIn = incarnation;
      scheduler.schedule(
          scheduler.nowNanos() + delayNanos,
          () -> {
            if (incarnation == scheduledIn) {
              task.run();
            }
          });
    }

    @Override
    public void replayTo(RoutingEventHandler events) {
      currentRound.forEach(event -> event.accept(events));
    }

    private void scheduleArrivals() {
      scheduler.schedule(
          scheduler.nowNanos()
              + (long)
                  (-Math.log(1 - random.nextDouble())
                      / (REQUESTS_PER_SECOND * trafficShare)
                      * NANOS_PER_SECOND),
          () -> {
            if (scheduler.nowNanos() < EPOCH_NANOS + endNanos - 3 * NANOS_PER_SECOND) {
              double drawn = random.nextDouble() * cumulativePopularity[OBJECTS - 1];
              int index = Arrays.binarySearch(cumulativePopularity, drawn);
              long object = 1L + (index < 0 ? -index - 1 : index);
              requestArrived(
                  new ClientRequest(
                      object * PARTS_PER_OBJECT + random.nextInt(PARTS_PER_OBJECT),
                      scheduler.nowNanos(),
                      0));
              scheduleArrivals();
            }
          });
    }

    private void requestArrived(ClientRequest request) {
      if (request.retries == 0) {
        countAt("asked", request.startedAtNanos);
      }
      if (!running) {
        retryLater(request, DEFAULT_RETRY_MILLIS * NANOS_PER_MILLI);
        return;
      }
      long object = request.key / PARTS_PER_OBJECT;
      int part = (int) (request.key % PARTS_PER_OBJECT);
      if (scheduler.nowNanos() < opensAtNanos
          || !recoveryRamp.tryAdmit(scheduler.nowNanos(), part > 0)) {
        countAt("turned_away", scheduler.nowNanos());
        retryLater(
            request,
            scheduler.nowNanos() < opensAtNanos
                ? DEFAULT_RETRY_MILLIS * NANOS_PER_MILLI
                : recoveryRamp.retryAfterNanos(part > 0));
        return;
      }
      long id = ++lastRequestId;
      clientRequests.put(id, request);
      recentObjects.add(new RecentObject(object, part), new RecentObject(object, part));
      keysByRequest.put(id, request.key);
      enqueue(
          events ->
              events.requestReceived(
                  new RequestDetails(
                      id,
                      0,
                      object,
                      0,
                      part,
                      request.startedAtNanos + REQUEST_TIMEOUT_NANOS - scheduler.nowNanos(),
                      REQUEST_KILOBYTES,
                      false)));
      scheduler.schedule(
          request.startedAtNanos + REQUEST_TIMEOUT_NANOS,
          () -> {
            if (clientRequests.remove(id) != null) {
              enqueue(events -> events.clientDisconnected(id));
            }
          });
    }

    // ---- What the decisions say.

    @Override
    public void sendAttempt(AttemptCommand command) {
      int attempt = attemptsByRequest.merge(command.requestId(), 1, Integer::sum) - 1;
      CacheRequest request =
          new CacheRequest(
              this,
              command.requestId(),
              attempt,
              keysByRequest.get(command.requestId()),
              (command.options() & AttemptCommand.CACHED_ONLY) != 0,
              command.rank() > 0,
              caches.get(command.source()),
              syntheticRequests.containsKey(command.requestId()));
      openAttempts.add(command.requestId() + "/" + attempt);
      scheduler.schedule(
          scheduler.nowNanos() + NANOS_PER_MILLI + random.nextLong(NANOS_PER_MILLI),
          () -> caches.get(command.endpoint()).requestReceived(request));
      scheduler.schedule(
          command.deadlineNanos(),
          () ->
              endAttempt(
                  request, command.endpoint(), AttemptOutcome.TIMED_OUT, ResponseDetail.NONE));
    }

    void attemptAnswered(CacheRequest request, AttemptOutcome outcome, ResponseDetail detail) {
      scheduler.schedule(
          scheduler.nowNanos() + NANOS_PER_MILLI + random.nextLong(NANOS_PER_MILLI),
          () -> endAttempt(request, -1, outcome, detail));
    }

    private void endAttempt(
        CacheRequest request, int cache, AttemptOutcome outcome, ResponseDetail detail) {
      if (!openAttempts.remove(request.requestId + "/" + request.attempt)) {
        return;
      }
      boolean returned = outcome == AttemptOutcome.SUCCEEDED;
      ClientRequest answered = returned ? clientRequests.remove(request.requestId) : null;
      Consumer<HealthCheckCoordinator.HealthCheckOutcome> completion =
          returned || outcome == AttemptOutcome.NOT_CACHED
              ? syntheticRequests.remove(request.requestId)
              : null;
      if (answered != null
          && scheduler.nowNanos() - answered.startedAtNanos <= LATENCY_OBJECTIVE_NANOS) {
        countAt("good", answered.startedAtNanos);
      }
      if (answered != null) {
        recoveryRamp.requestSucceeded();
      }
      if (completion != null) {
        completion.accept(HealthCheckCoordinator.HealthCheckOutcome.ANSWERED);
      }
      long durationNanos =
          REQUEST_TIMEOUT_NANOS; // The decisions look at it for what was returned alone.
      enqueue(
          events ->
              events.attemptEnded(
                  new AttemptResult(
                      request.requestId,
                      request.attempt,
                      cache,
                      outcome,
                      returned ? (long) (WORK_SECONDS * NANOS_PER_SECOND) : durationNanos,
                      returned
                          || (!clientRequests.containsKey(request.requestId)
                              && !syntheticRequests.containsKey(request.requestId)),
                      detail)));
    }

    @Override
    public void reject(long requestId, long delayNanos) {
      ClientRequest request = clientRequests.remove(requestId);
      if (request != null) {
        countAt("shed", scheduler.nowNanos());
        retryLater(request, delayNanos > 0 ? delayNanos : DEFAULT_RETRY_MILLIS * NANOS_PER_MILLI);
      }
      fail(requestId);
    }

    @Override
    public void fail(long requestId) {
      clientRequests.remove(requestId);
      Consumer<HealthCheckCoordinator.HealthCheckOutcome> completion =
          syntheticRequests.remove(requestId);
      if (completion != null) {
        completion.accept(
            attemptsByRequest.containsKey(requestId)
                ? HealthCheckCoordinator.HealthCheckOutcome.SILENT
                : HealthCheckCoordinator.HealthCheckOutcome.NOT_SENT);
      }
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
      openAttempts.remove(requestId + "/" + attempt);
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
    public void scheduleTimer(long delayNanos, String timerHandle) {
      scheduleHere(delayNanos, () -> enqueue(events -> events.timerFired(timerHandle)));
    }

    @Override
    public void subscribeEndpoints() {}

    // ---- What is done for the fleet, by gateway 0.

    private boolean leads(boolean task) {
      return task && index == 0;
    }

    @Override
    public void endpointHealthChanged(int cache, EndpointHealthStatus status) {
      String name = Integer.toString(cache);
      String recipient =
          status == EndpointHealthStatus.RESPONSIVE
              ? healthChecks.endpointResponded(scheduler.nowNanos(), name)
              : "";
      if (!recipient.isEmpty()) {
        sendToPeer(
            Integer.parseInt(recipient),
            events -> events.healthChecks.endpointsResponsive(scheduler.nowNanos(), List.of(name)));
      }
      healthChecks.healthChanged(
          scheduler.nowNanos(), name, status != EndpointHealthStatus.SUSPECT);
    }

    @Override
    public void endpointWarmingUp(int cache, long untilNanos) {
      prefetch.endpointWarmingUp(scheduler.nowNanos(), Integer.toString(cache), untilNanos);
    }

    private void tick() {
      long nowNanos = scheduler.nowNanos();
      if (plan.healthChecks()) {
        HealthCheckCoordinator.ReportRequest reportRequest =
            healthChecks.nextReportRequest(
                nowNanos,
                gateways.size(),
                () ->
                    gateways.stream()
                        .filter(peer -> peer != this)
                        .map(peer -> Integer.toString(peer.index))
                        .toList(),
                leads(true));
        if (reportRequest != null) {
          sendToPeer(
              Integer.parseInt(reportRequest.recipient()),
              events -> events.reportRequested(this, reportRequest));
        }
        if (leads(true)) {
          startHealthChecks();
          Map<String, HealthCheckCoordinator.HealthReport> report =
              healthChecks.broadcastReport(nowNanos);
          if (!report.isEmpty()) {
            List<String> recipients =
                gateways.stream().map(peer -> Integer.toString(peer.index)).toList();
            healthChecks
                .broadcastRecipients(nowNanos, recipients)
                .forEach(
                    peer ->
                        sendToPeer(
                            Integer.parseInt(peer), events -> events.reportReceived(0, report)));
          }
        }
        updateCentralized();
      }
      if (leads(plan.prefetch())) {
        prefetch.tick();
        startPrefetch();
      }
      recoveryRamp.tick(nowNanos);
      scheduleHere(100 * NANOS_PER_MILLI, this::tick);
    }

    private void sendToPeer(int events, Consumer<SimulatedGateway> delivery) {
      scheduler.schedule(
          scheduler.nowNanos() + NANOS_PER_MILLI + random.nextLong(4 * NANOS_PER_MILLI),
          () -> delivery.accept(gateways.get(events)));
    }

    private void updateCentralized() {
      boolean centralizedNow = healthChecks.isCentralized(scheduler.nowNanos(), leads(true));
      if (centralizedNow != centralized) {
        centralized = centralizedNow;
        enqueue(events -> events.healthChecksDelegated(centralizedNow));
      }
    }

    private void reportRequested(
        SimulatedGateway requester, HealthCheckCoordinator.ReportRequest reportRequest) {
      if (leads(plan.healthChecks())) {
        Map<String, HealthCheckCoordinator.HealthReport> report =
            healthChecks.reportRequested(
                scheduler.nowNanos(), Integer.toString(requester.index), reportRequest.endpoints());
        startHealthChecks();
        sendToPeer(
            requester.index,
            events -> events.reportReceived(reportRequest.requestedAtNanos(), report));
      }
    }

    private void reportReceived(
        long requestedAtNanos, Map<String, HealthCheckCoordinator.HealthReport> report) {
      Map<String, HealthCheckCoordinator.HealthReport> accepted =
          healthChecks.reportReceived(scheduler.nowNanos(), "0", 1, requestedAtNanos, report);
      updateCentralized();
      accepted.forEach(
          (cache, peer) ->
              enqueue(
                  events ->
                      events.healthReported(
                          Integer.parseInt(cache), peer.responded(), peer.ageNanos())));
    }

    private void startHealthChecks() {
      for (String cache : healthChecks.dueHealthChecks(scheduler.nowNanos())) {
        RecentObject recentObject = recentObjects.latest();
        startSynthetic(
            recentObject,
            Integer.parseInt(cache),
            result -> healthChecks.healthCheckEnded(scheduler.nowNanos(), cache, result));
      }
    }

    private void startPrefetch() {
      while (prefetch.tryStartRequest(scheduler.nowNanos())) {
        RecentObject recentObject = recentObjects.nextInPass();
        if (recentObject == null) {
          recentObjects.startPass();
          prefetch.passEnded(scheduler.nowNanos());
          return;
        }
        startSynthetic(
            recentObject,
            -1,
            result -> {
              prefetch.requestEnded();
              startPrefetch();
            });
      }
    }

    private void startSynthetic(
        RecentObject recentObject,
        int cache,
        Consumer<HealthCheckCoordinator.HealthCheckOutcome> completion) {
      long id = ++lastRequestId;
      syntheticRequests.put(id, completion);
      keysByRequest.put(id, recentObject.object * PARTS_PER_OBJECT + recentObject.part);
      enqueue(
          events ->
              events.syntheticRequestReceived(
                  new RequestDetails(
                      id,
                      0,
                      recentObject.object,
                      0,
                      recentObject.part,
                      SYNTHETIC_TIMEOUT_NANOS,
                      REQUEST_KILOBYTES,
                      false),
                  cache));
      scheduler.schedule(
          scheduler.nowNanos() + SYNTHETIC_TIMEOUT_NANOS,
          () -> {
            Consumer<HealthCheckCoordinator.HealthCheckOutcome> overdue =
                syntheticRequests.remove(id);
            if (overdue != null) {
              overdue.accept(HealthCheckCoordinator.HealthCheckOutcome.SILENT);
              enqueue(events -> events.clientDisconnected(id));
            }
          });
    }
  }
}
