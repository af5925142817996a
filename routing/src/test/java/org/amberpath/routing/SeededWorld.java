package org.amberpath.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.amberpath.routing.SeededConfig.Setting;
import org.amberpath.routing.SeededEndpoints.Behaviour;

/**
 * Simulates one gateway under seeded random traffic, faults, changes of the endpoint list and
 * events of the fleet, without I/O and on a virtual clock. Every action of the router is added to
 * {@link RecordedActions}, in order and with all its arguments. Random numbers come from the
 * world's own generator and are used only in basic arithmetic, so that a seed gives the same events
 * on every platform. The order of the draws is part of the recorded digests.
 */
@SuppressWarnings("EnumOrdinal") // The ordinals are part of the random seeds.
final class SeededWorld implements RoutingActions {
  /** The module under test, which decides on batches of events; each world has its own. */
  interface RoutingModule {
    void decide(long nowNanos, RoutingEvents events, RoutingActions actions);
  }

  static final int ORIGIN = 40;
  private static final int FIRST_PARENT = 30;
  private static final int ROUNDS = 10_000;
  private static final long MS = 1_000_000L;
  private static final int UNKNOWN_ENDPOINT = 99;

  private final Setting setting;
  private final SeededConfig config;
  private final SplittableRandom random;
  private final RecordedActions recordedActions = new RecordedActions();
  private final SeededSchedule schedule = new SeededSchedule(5_000 * MS);
  private final SeededEndpoints simulatedEndpoints;
  private final List<Consumer<RoutingEventHandler>> pendingEvents = new ArrayList<>();
  private final Map<Integer, EndpointState> listedStates = new TreeMap<>();

  /** How often each endpoint index was reused; each reuse gives the endpoint another ID. */
  private final Map<Integer, Integer> reuseCounts = new HashMap<>();

  private long lastRequestId;
  private int maxRequestsPerRound = 3;

  SeededWorld(Setting setting, long seed) {
    this.setting = setting;
    config = new SeededConfig(setting, seed);
    random = new SplittableRandom(seed * 31 + setting.ordinal());
    simulatedEndpoints =
        new SeededEndpoints(
            random, schedule, recordedActions, setting == Setting.NARROW ? 0.4 : 0.65);
  }

  SeededConfig config() {
    return config;
  }

  /** Returns the number of each action, outcome, detail and event that occurred. */
  Map<String, Integer> counts() {
    return recordedActions.counts();
  }

  /** Runs all rounds and returns the digest of all actions, in hexadecimal. */
  String run(RoutingModule module) {
    if (setting == Setting.NARROW) {
      // The kinds of endpoints are first listed while this gateway has no share.
      pendingEvents.add(to -> to.gatewayShareChanged(config.gateways(), 0));
    }
    addFullList();
    for (int round = 0; round < ROUNDS; round++) {
      if (round == ROUNDS / 50) {
        pendingEvents.add(to -> to.gatewayShareChanged(config.gateways(), 1.0 / config.gateways()));
      }
      schedule.advance(withProbability(0.002) ? 400 * MS : MS / 2 + random.nextLong(9 * MS));
      pendingEvents.addAll(schedule.removeDue());
      addRandomEvents();
      int count = random.nextInt(maxRequestsPerRound + 1);
      for (int index = 0; index < count; index++) {
        addRequest();
      }
      List<Consumer<RoutingEventHandler>> batch = List.copyOf(pendingEvents);
      pendingEvents.clear();
      module.decide(schedule.nowNanos(), to -> batch.forEach(event -> event.accept(to)), this);
    }
    return recordedActions.finishDigest();
  }

  private void addRandomEvents() {
    if (withProbability(0.01)) {
      maxRequestsPerRound =
          withProbability(0.15) ? 25 : 1 + random.nextInt(setting == Setting.NARROW ? 12 : 6);
    }
    if (withProbability(0.03)) {
      Behaviour[] all = Behaviour.values();
      simulatedEndpoints.setBehaviour(
          drawEndpoint(),
          withProbability(0.6) ? Behaviour.HEALTHY : all[random.nextInt(all.length)]);
    }
    if (withProbability(0.006)) {
      addListOfChanges(1);
    }
    if (withProbability(0.0008)) {
      addListOfChanges(5);
    }
    if (withProbability(0.0008)) {
      addFullList();
    }
    if (withProbability(0.0005)) {
      pendingEvents.add(to -> to.endpointListStarted(EndpointListKind.NONE));
    }
    addPurges();
    if (withProbability(0.03)) {
      addDisconnect();
    }
    addFleetEvents();
  }

  private void addPurges() {
    if (withProbability(0.02)) {
      long object = drawObject();
      long ageNanos = random.nextLong(300 * MS);
      pendingEvents.add(to -> to.objectPurged(object, groupOf(object), ageNanos));
    }
    if (withProbability(0.001)) {
      int group = withProbability(0.2) ? EndpointListener.ALL_GROUPS : random.nextInt(7);
      pendingEvents.add(to -> to.objectPurged(0, group, 20 * MS));
    }
  }

  private void addDisconnect() {
    List<Long> open = simulatedEndpoints.openRequests();
    if (!open.isEmpty()) {
      long requestId = open.get(random.nextInt(open.size()));
      pendingEvents.add(to -> to.clientDisconnected(requestId));
      recordedActions.count("event disconnected");
    }
  }

  private void addFleetEvents() {
    if (withProbability(0.001)) {
      int gateways = config.gateways() * (1 + random.nextInt(3)) - random.nextInt(2);
      double share = withProbability(0.3) ? 0 : 1.0 / Math.max(1, gateways);
      pendingEvents.add(to -> to.gatewayShareChanged(gateways, share));
      recordedActions.count(share > 0 ? "event share granted" : "event share revoked");
    }
    if (withProbability(0.002)) {
      boolean delegated = random.nextBoolean();
      pendingEvents.add(to -> to.healthChecksDelegated(delegated));
    }
    if (withProbability(0.02)) {
      int endpoint = withProbability(0.05) ? UNKNOWN_ENDPOINT : drawEndpoint();
      boolean responded = withProbability(0.7);
      long ageNanos = random.nextLong(2000 * MS);
      pendingEvents.add(to -> to.healthReported(endpoint, responded, ageNanos));
    }
    if (withProbability(0.2)) {
      long id = ++lastRequestId;
      int endpoint = withProbability(0.6) ? RoutingEventHandler.NO_ENDPOINT : drawEndpoint();
      int trafficClass = withProbability(0.8) ? 0 : random.nextInt(SeededConfig.TRAFFIC_CLASSES);
      long object = drawObject();
      int part = drawPart();
      pendingEvents.add(
          to ->
              to.syntheticRequestReceived(
                  new RequestDetails(
                      id,
                      trafficClass,
                      object,
                      groupOf(object),
                      part,
                      500 * MS,
                      kilobytesOf(id),
                      false),
                  endpoint));
    }
  }

  private void addRequest() {
    long id = ++lastRequestId;
    int trafficClass = withProbability(0.7) ? 0 : random.nextInt(SeededConfig.TRAFFIC_CLASSES);
    long object = drawObject();
    int part = drawPart();
    long timeLeftNanos =
        withProbability(0.02) ? 10 * MS : withProbability(0.2) ? 300 * MS : 2000 * MS;
    boolean neverCached = withProbability(0.02);
    pendingEvents.add(
        to ->
            to.requestReceived(
                new RequestDetails(
                    id,
                    trafficClass,
                    object,
                    groupOf(object),
                    part,
                    timeLeftNanos,
                    kilobytesOf(id),
                    neverCached)));
  }

  private double kilobytesOf(long id) {
    return id % 5 == 0 ? 0 : 20 + id % 200;
  }

  private static int groupOf(long object) {
    return (int) (object % 7);
  }

  private long drawObject() {
    if (setting == Setting.ALONE && withProbability(0.6)) {
      return 1000L + random.nextInt(40_000);
    }
    double uniform = random.nextDouble();
    return 1L + (int) (uniform * uniform * uniform * 500);
  }

  private int drawPart() {
    return withProbability(0.4) ? 0 : withProbability(0.4) ? random.nextInt(4) : random.nextInt(60);
  }

  // ---- Changes of the endpoint list.

  private int edgeCount() {
    return setting == Setting.NARROW ? 4 : setting == Setting.PLAIN ? 7 : 14;
  }

  private int parentCount() {
    return setting == Setting.NARROW ? 0 : setting == Setting.PLAIN ? 1 : 3;
  }

  private List<Integer> listedIndexes() {
    List<Integer> all = new ArrayList<>();
    for (int edge = 0; edge < edgeCount() + 2; edge++) {
      all.add(edge);
    }
    for (int parent = 0; parent < parentCount(); parent++) {
      all.add(FIRST_PARENT + parent);
    }
    all.add(ORIGIN);
    return all;
  }

  private int drawEndpoint() {
    List<Integer> all = listedIndexes();
    return withProbability(0.1) ? ORIGIN : all.get(random.nextInt(all.size()));
  }

  private void addFullList() {
    pendingEvents.add(to -> to.endpointListStarted(EndpointListKind.FULL));
    for (int endpoint : listedIndexes()) {
      if (!withProbability(0.05)) {
        listEndpoint(
            endpoint,
            EndpointState.UP,
            withProbability(0.1) && schedule.hasScheduledAny() ? schedule.nowNanos() : 0);
      }
    }
    pendingEvents.add(RoutingEventHandler::endpointListCompleted);
  }

  private void addListOfChanges(int count) {
    pendingEvents.add(to -> to.endpointListStarted(EndpointListKind.CHANGES));
    for (int index = 0; index < count; index++) {
      int endpoint = drawEndpoint();
      EndpointState state =
          listedStates.getOrDefault(endpoint, EndpointState.UP) == EndpointState.UP
                  && withProbability(0.4)
              ? EndpointState.values()[1 + random.nextInt(2)]
              : EndpointState.UP;
      long startedAgoNanos =
          withProbability(0.1)
              ? 2 * config.edgeSlowStart().durationNanos()
              : random.nextLong(500 * MS);
      listEndpoint(
          endpoint, state, withProbability(0.8) ? schedule.nowNanos() - startedAgoNanos : 0);
    }
    pendingEvents.add(RoutingEventHandler::endpointListCompleted);
  }

  private void listEndpoint(int endpoint, EndpointState state, long startedAtNanos) {
    if (listedStates.put(endpoint, state) == EndpointState.GONE) {
      reuseCounts.merge(endpoint, 1, Integer::sum);
    }
    recordedActions.count("event listed " + state + (startedAtNanos > 0 ? " warming up" : ""));
    String address = "10.0." + reuseCounts.getOrDefault(endpoint, 0) + "." + endpoint + ":90";
    String zone = endpoint >= FIRST_PARENT ? "hub" : endpoint < edgeCount() ? "here" : "there";
    String kind =
        endpoint == ORIGIN
            ? "origin"
            : endpoint >= FIRST_PARENT ? "parent" : endpoint % 3 == 0 ? "small" : "box";
    double weight = endpoint >= FIRST_PARENT ? 24 : endpoint % 3 == 0 ? 2 : 6;
    pendingEvents.add(
        to ->
            to.endpointListed(
                new EndpointDescription(
                    endpoint, address, zone, kind, endpoint % 3, state, weight, startedAtNanos)));
  }

  // ---- The actions of the router.

  @Override
  public void sendAttempt(AttemptCommand command) {
    recordedActions.add(
        "forward",
        command.requestId(),
        command.endpoint(),
        command.deadlineNanos(),
        command.source(),
        command.maxAgeNanos(),
        command.rank(),
        command.options());
    recordedActions.count("rank " + command.rank());
    recordedActions.count("options " + command.options());
    recordedActions.count(
        command.source() == command.endpoint()
            ? "no source"
            : command.source() == ORIGIN ? "source is the origin" : "source is a parent");
    simulatedEndpoints.accept(command);
  }

  @Override
  public void limitRetryStart(long requestId, long latestNanos) {
    recordedActions.add("sendBy", requestId, latestNanos);
  }

  @Override
  public void reject(long requestId, long retryAfterNanos) {
    recordedActions.add("shed", requestId, retryAfterNanos);
  }

  @Override
  public void fail(long requestId) {
    recordedActions.add("errored", requestId);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    recordedActions.add("callOff", requestId, attempt);
    simulatedEndpoints.cancel(requestId, attempt);
  }

  @Override
  public void scheduleTimer(long delayNanos, String handle) {
    recordedActions.add("wake", delayNanos, handle.hashCode());
    schedule.schedule(schedule.nowNanos() + delayNanos, to -> to.timerFired(handle));
  }

  @Override
  public void subscribeEndpoints() {
    recordedActions.add("watchList");
  }

  @Override
  public void endpointHealthChanged(int endpoint, EndpointHealthStatus status) {
    recordedActions.add("health " + recordedName(status), endpoint);
  }

  /**
   * Returns the name of a status in the recorded digests, a stored form that stays when the
   * constant is renamed.
   */
  private static String recordedName(EndpointHealthStatus status) {
    return switch (status) {
      case SUSPECT -> "DOUBTED";
      case HEALTHY -> "WELL";
      case RESPONSIVE -> "HEARD";
    };
  }

  @Override
  public void endpointWarmingUp(int endpoint, long untilNanos) {
    recordedActions.add("cold", endpoint, untilNanos);
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }
}
