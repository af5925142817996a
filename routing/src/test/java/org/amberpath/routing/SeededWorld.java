package org.amberpath.routing;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One gateway under seeded random traffic, faults, list changes and words of the fleet, without I/O
 * or clock. Every action that the decisions take is hashed in order with all its arguments. Random
 * numbers are drawn from the world's own generator, and only basic arithmetic is done with them, so
 * that a seed gives the same events everywhere.
 */
@SuppressWarnings("EnumOrdinal") // The orders are part of the recorded seeds.
final class SeededWorld implements RoutingConfig, RoutingActions {
  /** A round of decisions: what drives the module under test, built anew for each world. */
  interface Module {
    void round(long nowNanos, RoutingEvents in, RoutingActions to);
  }

  /** What the gateway is told at its start, and how much comes in. */
  enum Setting {
    /** One gateway; hedging, call-off, load weights, flow size, a wide catalogue. */
    ALONE,
    /**
     * One of twenty gateways in the zone and sixty in all; everything, copies that age, own GETs.
     */
    TWENTY,
    /**
     * No weights, no call-off, no flow size, no Retry-After; a list that is asked for, straight
     * ways to parents.
     */
    PLAIN,
    /** Neither hedging nor parents nor joins; four caches that are mostly overloaded. */
    NARROW
  }

  private enum Behaviour {
    WELL,
    SLOW,
    HUNG,
    RESETTING,
    REFUSING,
    UNREACHABLE,
    ERRORING,
    NEVER_WRITTEN
  }

  private record Planned(long at, long order, Consumer<RoutingEventHandler> event) {}

  private record Copy(long request, int number, int cache, long sentAt) {}

  static final int ROUNDS = 10_000;
  private static final long MS = 1_000_000L;
  private static final int CLASSES = 6;
  private static final int ORIGIN = 40;
  private static final int FIRST_PARENT = 30;

  /** How often each action, outcome and note came; a reader sees by it what the world reaches. */
  final Map<String, Integer> counts = new TreeMap<>();

  private final Setting setting;
  private final SplittableRandom random;
  private final long seed;
  private final MessageDigest digest = sha256();
  private final ByteBuffer buffer = ByteBuffer.allocate(8 * Long.BYTES);
  private final List<Consumer<RoutingEventHandler>> events = new ArrayList<>();
  private final PriorityQueue<Planned> planned =
      new PriorityQueue<>(Comparator.comparingLong(Planned::at).thenComparingLong(Planned::order));
  private final Map<Integer, Behaviour> behaviours = new HashMap<>();
  private final Map<Integer, EndpointState> states = new TreeMap<>();
  private final Map<Integer, Integer> lives = new HashMap<>();
  private final Map<Long, List<Copy>> open = new TreeMap<>();
  private final Map<Long, Integer> copies = new HashMap<>();
  private long now = 5_000 * MS;
  private long order;
  private long ids;
  private int requestsARound = 3;

  SeededWorld(Setting setting, long seed) {
    this.setting = setting;
    this.seed = seed;
    random = new SplittableRandom(seed * 31 + setting.ordinal());
  }

  /** Plays all rounds; the digest of all actions, as hexadecimal digits. */
  String play(Module module) {
    if (is(Setting.NARROW)) {
      events.add(
          to ->
              to.gatewayShareChanged(
                  gateways(), 0)); // The first kinds are listed while nothing is granted.
    }
    wholeList();
    for (int round = 0; round < ROUNDS; round++) {
      if (round == ROUNDS / 50) {
        events.add(to -> to.gatewayShareChanged(gateways(), 1.0 / gateways()));
      }
      now += chance(0.002) ? 400 * MS : MS / 2 + random.nextLong(9 * MS);
      while (!planned.isEmpty() && planned.peek().at <= now) {
        events.add(planned.poll().event);
      }
      changeSomething();
      int many = random.nextInt(requestsARound + 1);
      for (int one = 0; one < many; one++) {
        request();
      }
      List<Consumer<RoutingEventHandler>> batch = List.copyOf(events);
      events.clear();
      module.round(now, to -> batch.forEach(event -> event.accept(to)), this);
    }
    return HexFormat.of().formatHex(digest.digest());
  }

  private void changeSomething() {
    if (chance(0.01)) {
      requestsARound = chance(0.15) ? 25 : 1 + random.nextInt(setting == Setting.NARROW ? 12 : 6);
    }
    if (chance(0.03)) {
      Behaviour[] all = Behaviour.values();
      behaviours.put(anyEndpoint(), chance(0.6) ? Behaviour.WELL : all[random.nextInt(all.length)]);
    }
    if (chance(0.006)) {
      changeList(1);
    }
    if (chance(0.0008)) {
      changeList(5);
    }
    if (chance(0.0008)) {
      wholeList();
    }
    if (chance(0.0005)) {
      events.add(to -> to.endpointListStarted(EndpointListKind.NONE));
    }
    purge();
    if (chance(0.03)) {
      leave();
    }
    wordsOfTheFleet();
  }

  private void purge() {
    if (chance(0.02)) {
      long object = object();
      long ago = random.nextLong(300 * MS);
      events.add(to -> to.objectPurged(object, group(object), ago));
    }
    if (chance(0.001)) {
      int group = chance(0.2) ? EndpointListener.ALL_GROUPS : random.nextInt(7);
      events.add(to -> to.objectPurged(0, group, 20 * MS));
    }
  }

  private void leave() {
    if (!open.isEmpty()) {
      long request =
          open.keySet().stream().skip(random.nextInt(open.size())).findFirst().orElseThrow();
      events.add(to -> to.clientDisconnected(request));
      count("event left");
    }
  }

  private void wordsOfTheFleet() {
    if (chance(0.001)) {
      int many = gateways() * (1 + random.nextInt(3)) - random.nextInt(2);
      double part = chance(0.3) ? 0 : 1.0 / Math.max(1, many);
      events.add(to -> to.gatewayShareChanged(many, part));
      count(part > 0 ? "event sharers" : "event sharers none");
    }
    if (chance(0.002)) {
      boolean forAll = random.nextBoolean();
      events.add(to -> to.healthChecksDelegated(forAll));
    }
    if (chance(0.02)) {
      int cache = chance(0.05) ? 99 : anyEndpoint();
      boolean answers = chance(0.7);
      long ago = random.nextLong(2000 * MS);
      events.add(to -> to.healthReported(cache, answers, ago));
    }
    if (chance(0.2)) {
      long id = ++ids;
      int cache = chance(0.6) ? -1 : anyEndpoint();
      int kind = chance(0.8) ? 0 : random.nextInt(CLASSES);
      long object = object();
      int part = part();
      events.add(
          to ->
              to.syntheticRequestReceived(
                  new RequestDetails(
                      id, kind, object, group(object), part, 500 * MS, kilobytes(id), false),
                  cache));
    }
  }

  private void request() {
    long id = ++ids;
    int kind = chance(0.7) ? 0 : random.nextInt(CLASSES);
    long object = object();
    int part = part();
    long timeLeft = chance(0.02) ? 10 * MS : chance(0.2) ? 300 * MS : 2000 * MS;
    boolean write = chance(0.02);
    events.add(
        to ->
            to.requestReceived(
                new RequestDetails(
                    id, kind, object, group(object), part, timeLeft, kilobytes(id), write)));
  }

  private double kilobytes(long id) {
    return id % 5 == 0 ? 0 : 20 + id % 200;
  }

  private static int group(long object) {
    return (int) (object % 7);
  }

  private long object() {
    if (setting == Setting.ALONE && chance(0.6)) {
      return 1000L + random.nextInt(40_000);
    }
    double skewed = random.nextDouble();
    return 1L + (int) (skewed * skewed * skewed * 500);
  }

  private int part() {
    return chance(0.4) ? 0 : chance(0.4) ? random.nextInt(4) : random.nextInt(60);
  }

  // ---- The list.

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
    return chance(0.1) ? ORIGIN : all.get(random.nextInt(all.size()));
  }

  private void wholeList() {
    events.add(to -> to.endpointListStarted(EndpointListKind.FULL));
    for (int endpoint : endpoints()) {
      if (!chance(0.05)) {
        tell(endpoint, EndpointState.UP, chance(0.1) && order > 0 ? now : 0);
      }
    }
    events.add(RoutingEventHandler::endpointListCompleted);
  }

  private void changeList(int many) {
    events.add(to -> to.endpointListStarted(EndpointListKind.CHANGES));
    for (int one = 0; one < many; one++) {
      int endpoint = anyEndpoint();
      EndpointState state =
          states.getOrDefault(endpoint, EndpointState.UP) == EndpointState.UP && chance(0.4)
              ? EndpointState.values()[1 + random.nextInt(2)]
              : EndpointState.UP;
      long startedAgo =
          chance(0.1) ? 2 * edgeSlowStart().durationNanos() : random.nextLong(500 * MS);
      tell(endpoint, state, chance(0.8) ? now - startedAgo : 0);
    }
    events.add(RoutingEventHandler::endpointListCompleted);
  }

  private void tell(int endpoint, EndpointState state, long startedAt) {
    if (states.put(endpoint, state) == EndpointState.GONE) {
      lives.merge(endpoint, 1, Integer::sum);
    }
    count("event member " + state + (startedAt > 0 ? " cold" : ""));
    String address = "10.0." + lives.getOrDefault(endpoint, 0) + "." + endpoint + ":90";
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
                    endpoint, address, zone, kind, endpoint % 3, state, weight, startedAt)));
  }

  // ---- What becomes of a copy.

  private void plan(long at, Consumer<RoutingEventHandler> event) {
    planned.add(new Planned(at, ++order, event));
  }

  private void answer(Copy copy, long until, int source, boolean heldOnly) {
    boolean hit = chance(setting == Setting.NARROW ? 0.4 : 0.65);
    Behaviour cache = behaviours.getOrDefault(copy.cache, Behaviour.WELL);
    Behaviour behind =
        source == copy.cache ? Behaviour.WELL : behaviours.getOrDefault(source, Behaviour.WELL);
    Behaviour whose = cache != Behaviour.WELL || hit || heldOnly ? cache : behind;
    long took = (15 + random.nextInt(60)) * MS + (hit ? 0 : 30 * MS);
    boolean atSource = cache == Behaviour.WELL && !hit && !heldOnly && source != copy.cache;
    switch (whose) {
      case WELL -> whenWell(copy, until, took, hit, heldOnly, source);
      case SLOW -> whenWell(copy, until, 15 * took, hit, heldOnly, source);
      case HUNG -> end(copy, until, until - now, AttemptOutcome.TIMED_OUT, ResponseDetail.NONE);
      case RESETTING ->
          end(
              copy,
              until,
              took,
              atSource ? AttemptOutcome.FAILED : AttemptOutcome.CONNECTION_LOST,
              atSource ? ResponseDetail.FILL_SOURCE_UNREACHABLE : ResponseDetail.NONE);
      case REFUSING ->
          end(
              copy,
              until,
              MS,
              AttemptOutcome.REJECTED,
              atSource
                  ? ResponseDetail.FILL_REJECTED
                  : chance(0.1) ? ResponseDetail.NOT_STORED_NO_SPACE : ResponseDetail.NONE);
      case UNREACHABLE ->
          end(
              copy,
              until,
              2 * MS,
              atSource ? AttemptOutcome.FAILED : AttemptOutcome.CONNECT_FAILED,
              atSource ? ResponseDetail.FILL_SOURCE_UNREACHABLE : ResponseDetail.NONE);
      case ERRORING ->
          end(
              copy,
              until,
              took,
              AttemptOutcome.FAILED,
              atSource || copy.cache == ORIGIN
                  ? ResponseDetail.ORIGIN_FAILED
                  : ResponseDetail.NONE);
      default ->
          end(
              copy,
              until,
              MS,
              chance(0.5) ? AttemptOutcome.NOT_SENT : AttemptOutcome.WITHDRAWN,
              ResponseDetail.NONE);
    }
  }

  private void whenWell(
      Copy copy, long until, long took, boolean hit, boolean heldOnly, int source) {
    if (!hit && heldOnly) {
      end(copy, until, 3 * MS, AttemptOutcome.NOT_CACHED, ResponseDetail.NONE);
    } else if (chance(0.01)) {
      end(
          copy,
          until,
          5 * MS,
          chance(0.5) ? AttemptOutcome.FAILED : AttemptOutcome.NOT_CACHED,
          chance(0.5) ? ResponseDetail.FILL_SOURCE_MISS : ResponseDetail.NOT_STORED_NO_SPACE);
    } else {
      ResponseDetail note =
          hit
              ? chance(0.9)
                  ? ResponseDetail.HIT
                  : chance(0.5) ? ResponseDetail.STALE : ResponseDetail.NONE
              : source == ORIGIN || chance(0.4)
                  ? ResponseDetail.FILLED_BY_ORIGIN
                  : chance(0.2) ? ResponseDetail.COALESCED : ResponseDetail.FILLED;
      if (chance(0.1)) {
        long halfway = now + Math.min(took, until - now) / 2;
        plan(halfway, to -> to.responseStarted(copy.request, copy.number));
      }
      end(copy, until, took, AttemptOutcome.SUCCEEDED, note);
    }
  }

  private void end(Copy copy, long until, long took, AttemptOutcome planned, ResponseDetail told) {
    boolean late = now + took >= until;
    AttemptOutcome outcome = late ? AttemptOutcome.TIMED_OUT : planned;
    ResponseDetail note = late ? ResponseDetail.NONE : told;
    long at = late ? until : now + took;
    plan(at, to -> ended(to, copy, outcome, at - copy.sentAt, note));
  }

  private void ended(
      RoutingEventHandler to, Copy copy, AttemptOutcome outcome, long took, ResponseDetail note) {
    List<Copy> still = open.getOrDefault(copy.request, List.of());
    if (!still.contains(copy)) {
      return;
    }
    still.remove(copy);
    if (still.isEmpty()) {
      open.remove(copy.request);
    }
    count("outcome " + outcome);
    count("note " + note);
    to.attemptEnded(
        new AttemptResult(
            copy.request,
            copy.number,
            copy.cache,
            outcome,
            took,
            outcome == AttemptOutcome.SUCCEEDED,
            note));
    if (chance(0.001)) {
      to.attemptEnded(
          new AttemptResult(
              copy.request,
              copy.number + random.nextInt(2),
              copy.cache,
              outcome,
              took,
              true,
              note));
    }
  }

  // ---- What was decided.

  private void hash(String action, long... arguments) {
    count("action " + action);
    buffer.clear();
    buffer.putLong(action.hashCode());
    for (long argument : arguments) {
      buffer.putLong(argument);
    }
    digest.update(buffer.flip());
  }

  private void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  @Override
  public void sendAttempt(AttemptCommand command) {
    hash(
        "forward",
        command.requestId(),
        command.endpoint(),
        command.deadlineNanos(),
        command.source(),
        command.maxAgeNanos(),
        command.rank(),
        command.options());
    count("rank " + command.rank());
    count("switches " + command.options());
    count(
        command.source() == command.endpoint()
            ? "no source"
            : command.source() == ORIGIN ? "source is the origin" : "source is a parent");
    int number = copies.merge(command.requestId(), 1, Integer::sum) - 1;
    count("copy " + number);
    Copy copy = new Copy(command.requestId(), number, command.endpoint(), now);
    open.computeIfAbsent(command.requestId(), id -> new ArrayList<>()).add(copy);
    answer(
        copy,
        command.deadlineNanos(),
        command.source(),
        (command.options() & AttemptCommand.CACHED_ONLY) != 0);
  }

  @Override
  public void limitRetryStart(long get, long time) {
    hash("sendBy", get, time);
  }

  @Override
  public void reject(long get, long wait) {
    hash("shed", get, wait);
  }

  @Override
  public void fail(long get) {
    hash("errored", get);
  }

  @Override
  public void cancelAttempt(long get, int number) {
    hash("callOff", get, number);
    for (Copy copy : List.copyOf(open.getOrDefault(get, List.of()))) {
      if (copy.number == number) {
        plan(
            now,
            to ->
                ended(to, copy, AttemptOutcome.CANCELLED, now - copy.sentAt, ResponseDetail.NONE));
      }
    }
  }

  @Override
  public void scheduleTimer(long delay, String handle) {
    hash("wake", delay, handle.hashCode());
    plan(now + delay, to -> to.timerFired(handle));
  }

  @Override
  public void subscribeEndpoints() {
    hash("watchList");
  }

  @Override
  public void endpointHealthChanged(int cache, EndpointHealthStatus health) {
    hash("health " + recordedName(health), cache);
  }

  /**
   * The text under which the digests have a status: a stored form, whatever its constant is called.
   */
  private static String recordedName(EndpointHealthStatus status) {
    return switch (status) {
      case SUSPECT -> "DOUBTED";
      case HEALTHY -> "WELL";
      case RESPONSIVE -> "HEARD";
    };
  }

  @Override
  public void endpointWarmingUp(int cache, long until) {
    hash("cold", cache, until);
  }

  private boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  // ---- The site.

  private boolean is(Setting one) {
    return setting == one;
  }

  @Override
  public long seed() {
    return seed;
  }

  @Override
  public int gateways() {
    return is(Setting.ALONE) ? 1 : is(Setting.TWENTY) ? 60 : 3;
  }

  @Override
  public int gatewaysInZone() {
    return is(Setting.TWENTY) ? 20 : 1;
  }

  @Override
  public String zone() {
    return "here";
  }

  @Override
  public Optional<String> parentKind() {
    return is(Setting.NARROW) ? Optional.empty() : Optional.of("parent");
  }

  @Override
  public Optional<String> originKind() {
    return Optional.of("origin");
  }

  @Override
  public boolean weightIsSize() {
    return !is(Setting.PLAIN);
  }

  @Override
  public boolean endpointListOnRequest() {
    return is(Setting.PLAIN);
  }

  @Override
  public int trafficClassCount() {
    return CLASSES;
  }

  @Override
  public boolean bypassAllowed() {
    return is(Setting.PLAIN) || is(Setting.TWENTY);
  }

  @Override
  public boolean coalescing() {
    return !is(Setting.NARROW);
  }

  @Override
  public double transferKilobytesPerSecond() {
    return is(Setting.PLAIN) ? 0 : 1500;
  }

  @Override
  public long purgeRetentionNanos() {
    return 6000 * MS;
  }

  @Override
  public long overloadWindowNanos() {
    return 1000 * MS;
  }

  @Override
  public TrafficClassConfig trafficClass(int index) {
    boolean aging = is(Setting.TWENTY);
    return new TrafficClassConfig(
        idempotency(index),
        index == 1
            ? IdempotencyScope.ALL
            : index == 2 ? IdempotencyScope.ZONE : IdempotencyScope.CELL,
        index == 3 ? 100 * MS : 1000 * MS,
        (100 + 50L * index) * MS,
        2,
        1 + index % 3,
        index == 5,
        aging ? (index + 1) * 1000L * MS : 0,
        aging ? 4000 * MS : 0);
  }

  private static Idempotency idempotency(int index) {
    return index == 0 || index == 5
        ? Idempotency.IDEMPOTENT
        : index == 4 ? Idempotency.NON_IDEMPOTENT : Idempotency.IDEMPOTENCY_KEY;
  }

  @Override
  public RetryConfig retries() {
    return new RetryConfig(
        is(Setting.NARROW) ? 2 : 4,
        !is(Setting.NARROW),
        !is(Setting.PLAIN),
        !is(Setting.PLAIN),
        500 * MS);
  }

  @Override
  public SlowStartConfig edgeSlowStart() {
    return new SlowStartConfig(0.1, 8_000 * MS, 3);
  }

  @Override
  public SlowStartConfig parentSlowStart() {
    return new SlowStartConfig(0.2, 5_000 * MS, 2);
  }
}
