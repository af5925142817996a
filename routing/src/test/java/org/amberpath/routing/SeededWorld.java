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
 * {@link RecordedActions}, in order and with all its arguments. Random numbers are drawn from the
 * world's own generator and only used in basic arithmetic, so that a seed gives the same events on
 * every platform. The order of the draws is part of the recorded digests.
 */
@SuppressWarnings("EnumOrdinal") // The ordinals are part of the random seeds.
final class SeededWorld implements RoutingActions {
  /** The module under test, which decides on batches of events; each world has its own. */
  interface Module {
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
  private final RecordedActions recorded = new RecordedActions();
  private final SeededSchedule schedule = new SeededSchedule(5_000 * MS);
  private final SeededEndpoints simulatedEndpoints;
  private final List<Consumer<RoutingEventHandler>> events = new ArrayList<>();
  private final Map<Integer, EndpointState> states = new TreeMap<>();

  /** How often each endpoint index was reused; each reuse gives the endpoint another ID. */
  private final Map<Integer, Integer> reuses = new HashMap<>();

  private long lastRequestId;
  private int maxRequestsPerRound = 3;

  SeededWorld(Setting setting, long seed) {
    this.setting = setting;
    config = new SeededConfig(setting, seed);
    random = new SplittableRandom(seed * 31 + setting.ordinal());
    simulatedEndpoints =
        new SeededEndpoints(random, schedule, recorded, setting == Setting.NARROW ? 0.4 : 0.65);
  }

  SeededConfig config() {
    return config;
  }

  /** Returns the number of each action, outcome, detail and event that occurred. */
  Map<String, Integer> counts() {
    return recorded.counts();
  }

  /** Runs all rounds and returns the digest of all actions, in hexadecimal. */
  String play(Module module) {
    if (setting == Setting.NARROW) {
      // The kinds of endpoints are first listed while this gateway has no share.
      events.add(to -> to.gatewayShareChanged(config.gateways(), 0));
    }
    fullList();
    for (int round = 0; round < ROUNDS; round++) {
      if (round == ROUNDS / 50) {
        events.add(to -> to.gatewayShareChanged(config.gateways(), 1.0 / config.gateways()));
      }
      schedule.advance(withProbability(0.002) ? 400 * MS : MS / 2 + random.nextLong(9 * MS));
      events.addAll(schedule.takeDue());
      addRandomEvents();
      int count = random.nextInt(maxRequestsPerRound + 1);
      for (int index = 0; index < count; index++) {
        addRequest();
      }
      List<Consumer<RoutingEventHandler>> batch = List.copyOf(events);
      events.clear();
      module.decide(schedule.nowNanos(), to -> batch.forEach(event -> event.accept(to)), this);
    }
    return recorded.finishDigest();
  }

  private void addRandomEvents() {
    if (withProbability(0.01)) {
      maxRequestsPerRound =
          withProbability(0.15) ? 25 : 1 + random.nextInt(setting == Setting.NARROW ? 12 : 6);
    }
    if (withProbability(0.03)) {
      Behaviour[] all = Behaviour.values();
      simulatedEndpoints.setBehaviour(
          anyEndpoint(),
          withProbability(0.6) ? Behaviour.HEALTHY : all[random.nextInt(all.length)]);
    }
    if (withProbability(0.006)) {
      changeList(1);
    }
    if (withProbability(0.0008)) {
      changeList(5);
    }
    if (withProbability(0.0008)) {
      fullList();
    }
    if (withProbability(0.0005)) {
      events.add(to -> to.endpointListStarted(EndpointListKind.NONE));
    }
    addPurges();
    if (withProbability(0.03)) {
      disconnectClient();
    }
    addFleetEvents();
  }

  private void addPurges() {
    if (withProbability(0.02)) {
      long object = object();
      long ageNanos = random.nextLong(300 * MS);
      events.add(to -> to.objectPurged(object, group(object), ageNanos));
    }
    if (withProbability(0.001)) {
      int group = withProbability(0.2) ? EndpointListener.ALL_GROUPS : random.nextInt(7);
      events.add(to -> to.objectPurged(0, group, 20 * MS));
    }
  }

  private void disconnectClient() {
    List<Long> open = simulatedEndpoints.openRequests();
    if (!open.isEmpty()) {
      long requestId = open.get(random.nextInt(open.size()));
      events.add(to -> to.clientDisconnected(requestId));
      recorded.count("event disconnected");
    }
  }

  private void addFleetEvents() {
    if (withProbability(0.001)) {
      int gateways = config.gateways() * (1 + random.nextInt(3)) - random.nextInt(2);
      double share = withProbability(0.3) ? 0 : 1.0 / Math.max(1, gateways);
      events.add(to -> to.gatewayShareChanged(gateways, share));
      recorded.count(share > 0 ? "event share granted" : "event share revoked");
    }
    if (withProbability(0.002)) {
      boolean delegated = random.nextBoolean();
      events.add(to -> to.healthChecksDelegated(delegated));
    }
    if (withProbability(0.02)) {
      int endpoint = withProbability(0.05) ? UNKNOWN_ENDPOINT : anyEndpoint();
      boolean responded = withProbability(0.7);
      long ageNanos = random.nextLong(2000 * MS);
      events.add(to -> to.healthReported(endpoint, responded, ageNanos));
    }
    if (withProbability(0.2)) {
      long id = ++lastRequestId;
      int endpoint = withProbability(0.6) ? RoutingEventHandler.NO_ENDPOINT : anyEndpoint();
      int trafficClass = withProbability(0.8) ? 0 : random.nextInt(SeededConfig.TRAFFIC_CLASSES);
      long object = object();
      int part = part();
      events.add(
          to ->
              to.syntheticRequestReceived(
                  new RequestDetails(
                      id,
                      trafficClass,
                      object,
                      group(object),
                      part,
                      500 * MS,
                      kilobytes(id),
                      false),
                  endpoint));
    }
  }

  private void addRequest() {
    long id = ++lastRequestId;
    int trafficClass = withProbability(0.7) ? 0 : random.nextInt(SeededConfig.TRAFFIC_CLASSES);
    long object = object();
    int part = part();
    long timeLeftNanos =
        withProbability(0.02) ? 10 * MS : withProbability(0.2) ? 300 * MS : 2000 * MS;
    boolean neverCached = withProbability(0.02);
    events.add(
        to ->
            to.requestReceived(
                new RequestDetails(
                    id,
                    trafficClass,
                    object,
                    group(object),
                    part,
                    timeLeftNanos,
                    kilobytes(id),
                    neverCached)));
  }

  private double kilobytes(long id) {
    return id % 5 == 0 ? 0 : 20 + id % 200;
  }

  private static int group(long object) {
    return (int) (object % 7);
  }

  private long object() {
    if (setting == Setting.ALONE && withProbability(0.6)) {
      return 1000L + random.nextInt(40_000);
    }
    double skewed = random.nextDouble();
    return 1L + (int) (skewed * skewed * skewed * 500);
  }

  private int part() {
    return withProbability(0.4) ? 0 : withProbability(0.4) ? random.nextInt(4) : random.nextInt(60);
  }

  // ---- The endpoint list.

  private int edges() {
    return setting == Setting.NARROW ? 4 : setting == Setting.PLAIN ? 7 : 14;
  }

  private int parents() {
    return setting == Setting.NARROW ? 0 : setting == Setting.PLAIN ? 1 : 3;
  }

  private List<Integer> endpoints() {
    List<Integer> all = new ArrayList<>();
    for (int edge = 0; edge < edges() + 2; edge++) {
      all.add(edge);
    }
    for (int parent = 0; parent < parents(); parent++) {
      all.add(FIRST_PARENT + parent);
    }
    all.add(ORIGIN);
    return all;
  }

  private int anyEndpoint() {
    List<Integer> all = endpoints();
    return withProbability(0.1) ? ORIGIN : all.get(random.nextInt(all.size()));
  }

  private void fullList() {
    events.add(to -> to.endpointListStarted(EndpointListKind.FULL));
    for (int endpoint : endpoints()) {
      if (!withProbability(0.05)) {
        listEndpoint(
            endpoint,
            EndpointState.UP,
            withProbability(0.1) && schedule.wasUsed() ? schedule.nowNanos() : 0);
      }
    }
    events.add(RoutingEventHandler::endpointListCompleted);
  }

  private void changeList(int count) {
    events.add(to -> to.endpointListStarted(EndpointListKind.CHANGES));
    for (int index = 0; index < count; index++) {
      int endpoint = anyEndpoint();
      EndpointState state =
          states.getOrDefault(endpoint, EndpointState.UP) == EndpointState.UP
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
    events.add(RoutingEventHandler::endpointListCompleted);
  }

  private void listEndpoint(int endpoint, EndpointState state, long startedAtNanos) {
    if (states.put(endpoint, state) == EndpointState.GONE) {
      reuses.merge(endpoint, 1, Integer::sum);
    }
    recorded.count("event listed " + state + (startedAtNanos > 0 ? " warming up" : ""));
    String address = "10.0." + reuses.getOrDefault(endpoint, 0) + "." + endpoint + ":90";
    String zone = endpoint >= FIRST_PARENT ? "hub" : endpoint < edges() ? "here" : "there";
    String kind =
        endpoint == ORIGIN
            ? "origin"
            : endpoint >= FIRST_PARENT ? "parent" : endpoint % 3 == 0 ? "small" : "box";
    double weight = endpoint >= FIRST_PARENT ? 24 : endpoint % 3 == 0 ? 2 : 6;
    events.add(
        to ->
            to.endpointListed(
                new EndpointDescription(
                    endpoint, address, zone, kind, endpoint % 3, state, weight, startedAtNanos)));
  }

  // ---- The actions of the router.

  @Override
  public void sendAttempt(AttemptCommand command) {
    recorded.add(
        "forward",
        command.requestId(),
        command.endpoint(),
        command.deadlineNanos(),
        command.source(),
        command.maxAgeNanos(),
        command.rank(),
        command.options());
    recorded.count("rank " + command.rank());
    recorded.count("options " + command.options());
    recorded.count(
        command.source() == command.endpoint()
            ? "no source"
            : command.source() == ORIGIN ? "source is the origin" : "source is a parent");
    simulatedEndpoints.accept(command);
  }

  @Override
  public void limitRetryStart(long requestId, long latestNanos) {
    recorded.add("sendBy", requestId, latestNanos);
  }

  @Override
  public void reject(long requestId, long retryAfterNanos) {
    recorded.add("shed", requestId, retryAfterNanos);
  }

  @Override
  public void fail(long requestId) {
    recorded.add("errored", requestId);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    recorded.add("callOff", requestId, attempt);
    simulatedEndpoints.cancel(requestId, attempt);
  }

  @Override
  public void scheduleTimer(long delayNanos, String handle) {
    recorded.add("wake", delayNanos, handle.hashCode());
    schedule.schedule(schedule.nowNanos() + delayNanos, to -> to.timerFired(handle));
  }

  @Override
  public void subscribeEndpoints() {
    recorded.add("watchList");
  }

  @Override
  public void endpointHealthChanged(int endpoint, EndpointHealthStatus status) {
    recorded.add("health " + recordedName(status), endpoint);
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
    recorded.add("cold", endpoint, untilNanos);
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }
}
