package org.amberpath.lab.testbed;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.LoadGenerator;
import org.amberpath.lab.StandInCache;
import org.amberpath.routing.EndpointState;

/**
 * Several gateways as real processes among stand-in caches, a hub, the origin, a journal and
 * clients that send on a schedule, with a relay on every link between two gateways. A scenario
 * calls what is public here from one thread of its own; nothing that was started outlives the rig.
 */
@SuppressWarnings("try") // Closing waits for processes; an interrupt ends the experiment.
public final class ProcessTestbed implements AutoCloseable {
  private static final long TIMEOUT_SECONDS = 30;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long POLL_MILLIS = 200;
  private static final long MAX_PURGE_DELAY_MILLIS = 1500;
  private static final long REQUEST_TIMEOUT_MILLIS = 1500;
  private static final long WAKE_ALLOWANCE_NANOS = 1000 * NANOS_PER_MILLI;
  private static final int EDGE_CACHES = 8;
  private static final int OBJECTS = 64;
  private static final double EDGE_WEIGHT = 0.5;

  /**
   * What is to be played.
   *
   * @param gateways how many places there are for gateways
   * @param told the most that the operators say may run; 0 leaves [fleet] off
   * @param rate GETs a second to each gateway
   * @param folder where settings and logs go
   * @param extraSections sections of the INI besides [fleet]
   */
  public record Plan(
      long seed,
      int gateways,
      int expectedMembers,
      int requestsPerSecond,
      Path folder,
      String extraSections) {
    public Plan(long seed, int gateways, int expectedMembers, int requestsPerSecond, Path folder) {
      this(seed, gateways, expectedMembers, requestsPerSecond, folder, "");
    }
  }

  /** One gateway's place: its process, its clients, and what it said last. */
  public static final class GatewaySlot {
    final int index;
    final String name;
    final List<LoadGenerator> loadGenerators = new ArrayList<>();

    /** When it could answer nobody, from and to, by nanoTime. */
    final List<long[]> awayPeriods = new ArrayList<>();

    GatewayProcess process;

    /** The desk's last answer, and when it came; null once the process has ended. */
    volatile JsonObject view;

    volatile long runningSinceNanos;
    private int adminPort;

    GatewaySlot(int index) {
      this.index = index;
      name = "g" + index;
    }

    public String name() {
      return name;
    }

    /** Null while it does not run, or has not answered yet. */
    public JsonObject view() {
      return view;
    }

    public boolean isRunning() {
      return runningSinceNanos != 0;
    }

    /** When it was there last after having been away, by nanoTime. */
    public long runningSinceNanos() {
      return runningSinceNanos;
    }

    private boolean wasAway(long fromNanos, long toNanos) {
      return awayPeriods.stream()
          .anyMatch(
              period ->
                  period[0] <= toNanos
                      && (period[1] == 0 || fromNanos <= period[1] + WAKE_ALLOWANCE_NANOS));
    }
  }

  private final Plan plan;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Map<String, StandInCache> caches = new LinkedHashMap<>();
  private final Map<String, EndpointState> states = new LinkedHashMap<>();
  private final SplittableRandom random;
  private final StandInJournal journal = new StandInJournal(vertx);
  private final HttpClient client =
      vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(1000));
  private final List<GatewaySlot> slots = new ArrayList<>();
  private final long beganNanos = System.nanoTime();
  private RuleAuditor auditor;
  private final NetworkLinks links;
  private int severeLines;
  private String extraSections;

  /**
   * Of each second since the rig began: GETs that were to be sent and came back, while no gateway
   * was away.
   */
  private final long[] offeredBySecond = new long[3600];

  private final long[] returnedBySecond = new long[3600];

  private final Thread killOnExit = new Thread(this::killAll, "rig");

  public ProcessTestbed(Plan plan) throws Exception {
    this.plan = plan;
    extraSections = plan.extraSections();
    random = new SplittableRandom(plan.seed());
    links = new NetworkLinks(vertx, plan.gateways(), random.nextLong());
    IntStream.range(0, plan.gateways()).forEach(gateway -> slots.add(new GatewaySlot(gateway)));
    Runtime.getRuntime().addShutdownHook(killOnExit);
    List<Future<?>> opening =
        callOnLoop(
            () -> {
              auditor = new RuleAuditor(vertx);
              List<Future<?>> pending = new ArrayList<>(List.of(journal.listen(), links.open()));
              IntStream.range(0, EDGE_CACHES)
                  .forEach(gateway -> pending.add(listenCache("e" + gateway, 2, 8)));
              pending.add(listenCache("h0", 2, 10));
              pending.add(listenCache("o0", 10, 0));
              return pending;
            });
    EventLoopWaiter.await(Future.all(opening));
    callOnLoop(
        () -> {
          caches.keySet().forEach(id -> announceCache(id, EndpointState.UP, 0));
          return null;
        });
    Files.writeString(plan.folder().resolve("keys"), "k1 " + "6b".repeat(32) + "\n");
  }

  private Future<?> listenCache(String id, long hitMillis, long fillMillis) {
    StandInCache cacheId =
        new StandInCache(vertx, id, hitMillis, fillMillis, caches::get)
            .withListener(auditor::requestReceived);
    caches.put(id, cacheId);
    return cacheId.listen();
  }

  private static String kind(String id) {
    return id.startsWith("e")
        ? LabSettings.EDGE
        : id.startsWith("h") ? LabSettings.HUB : LabSettings.ORIGIN;
  }

  private void announceCache(String id, EndpointState state, long startedAtMillis) {
    states.put(id, state);
    journal.announceCache(
        id,
        caches.get(id).address(),
        kind(id),
        id.startsWith("e") ? EDGE_WEIGHT : 10,
        state,
        startedAtMillis);
  }

  /** Runs on the rig's event loop, and waits for what comes of it. */
  public <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  // ---- What a scenario does.

  /**
   * Starts a gateway in each place at once, and waits until all serve; then their views are asked
   * for.
   */
  public void startAll() throws Exception {
    for (GatewaySlot slot : slots) {
      launch(slot);
    }
    for (GatewaySlot slot : slots) {
      awaitServing(slot);
    }
    callOnLoop(() -> vertx.setPeriodic(POLL_MILLIS, tick -> slots.forEach(this::pollView)));
  }

  /** Starts a gateway in a place, and waits until it serves. */
  public void start(int index) throws Exception {
    launch(slots.get(index));
    awaitServing(slots.get(index));
  }

  private void launch(GatewaySlot slot) throws IOException {
    Path config = plan.folder().resolve(slot.name + ".json");
    Path ini = plan.folder().resolve(slot.name + ".ini");
    Files.writeString(
        config,
        LabSettings.json(slot.name, plan.seed() + slot.index, journal.address(), plan.gateways()));
    List<String> arguments = new ArrayList<>(List.of("org.amberpath.cli.Main", "serve"));
    if (plan.expectedMembers() > 0) {
      writeSettings(slot);
      arguments.addAll(List.of("--file", ini.toString()));
    }
    slot.process =
        new GatewayProcess(
            arguments,
            Map.of("PROXY_CONFIG", config.toString()),
            plan.folder().resolve(slot.name + ".log"));
  }

  private void writeSettings(GatewaySlot slot) throws IOException {
    Files.writeString(
        plan.folder().resolve(slot.name + ".ini"),
        "[fleet]\nname = lab\nlisten = 127.0.0.1:0\nadvertise"
            + " = "
            + links.address(slot.index)
            + "\nseeds = "
            + links.address(0)
            + ", "
            + links.address(1)
            + ", "
            + links.address(2)
            + "\ntold = "
            + plan.expectedMembers()
            + "\nkey = "
            + plan.folder().resolve("keys")
            + "\noperators = 127.0.0.1:0\n"
            + extraSections);
  }

  private void awaitServing(GatewaySlot slot) throws Exception {
    if (plan.expectedMembers() > 0) {
      int port = slot.process.fleetPort().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      callOnLoop(
          () -> {
            links.setGatewayPort(slot.index, port);
            return null;
          });
      slot.adminPort = slot.process.adminPort().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    int port = slot.process.clientPort().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    slot.runningSinceNanos = System.nanoTime();
    List<Future<?>> connecting =
        callOnLoop(
            () -> {
              if (!slot.awayPeriods.isEmpty()) {
                slot.awayPeriods.get(slot.awayPeriods.size() - 1)[1] = System.nanoTime();
              }
              List<Future<?>> pending = new ArrayList<>();
              for (String trafficClass : List.of(LabSettings.CLIPS, LabSettings.ORDERS)) {
                LoadGenerator loadGenerator =
                    new LoadGenerator(
                            vertx,
                            trafficClass,
                            REQUEST_TIMEOUT_MILLIS,
                            random.nextLong(),
                            response -> responseReceived(slot, response))
                        .withLossExcuse(slot::wasAway)
                        .withSendListener(
                            sentAtNanos -> countInSecond(slot, offeredBySecond, sentAtNanos));
                slot.loadGenerators.add(loadGenerator);
                int rate =
                    trafficClass.equals(LabSettings.CLIPS)
                        ? plan.requestsPerSecond()
                        : Math.max(1, plan.requestsPerSecond() / 10);
                pending.add(loadGenerator.start(port, 4, rate));
              }
              return pending;
            });
    EventLoopWaiter.await(Future.all(connecting));
  }

  private void responseReceived(GatewaySlot slot, LoadGenerator.Response response) {
    auditor.responseReceived(response);
    countInSecond(slot, returnedBySecond, response.sentAtNanos());
  }

  private void countInSecond(GatewaySlot slot, long[] countsBySecond, long sentAtNanos) {
    if (!slot.wasAway(sentAtNanos, sentAtNanos + REQUEST_TIMEOUT_MILLIS * NANOS_PER_MILLI)) {
      countsBySecond[
          (int)
              Math.min(
                  countsBySecond.length - 1,
                  (sentAtNanos - beganNanos) / (1000 * NANOS_PER_MILLI))]++;
    }
  }

  private void pollView(GatewaySlot slot) {
    GatewayProcess process = slot.process;
    if (plan.expectedMembers() > 0 && slot.isRunning()) {
      client
          .request(HttpMethod.GET, slot.adminPort, "127.0.0.1", "/fleet")
          .compose(request -> request.send())
          .compose(answer -> answer.body())
          .onSuccess(
              body -> {
                if (slot.process == process && slot.isRunning()) {
                  slot.view = body.toJsonObject().put("asked_at", System.nanoTime());
                }
              });
    }
  }

  private void markAway(GatewaySlot slot) throws Exception {
    callOnLoop(
        () -> {
          slot.loadGenerators
              .subList(Math.max(0, slot.loadGenerators.size() - 2), slot.loadGenerators.size())
              .forEach(LoadGenerator::stop);
          slot.runningSinceNanos = 0;
          slot.view = null;
          slot.awayPeriods.add(new long[] {System.nanoTime(), 0});
          return null;
        });
  }

  /** SIGKILL. */
  public void kill(int index) throws Exception {
    GatewaySlot slot = slots.get(index);
    markAway(slot);
    slot.process.kill();
    awaitExit(slot);
  }

  /** SIGTERM: its clients send nothing more, what they sent is owed an answer. */
  public void terminate(int index) throws Exception {
    GatewaySlot slot = slots.get(index);
    callOnLoop(
        () -> {
          slot.loadGenerators
              .subList(slot.loadGenerators.size() - 2, slot.loadGenerators.size())
              .forEach(LoadGenerator::stop);
          slot.runningSinceNanos = 0;
          slot.view = null;
          return null;
        });
    slot.process.terminate();
  }

  /** Waits for the end of one that was killed or told to end, and counts what its log says. */
  public void awaitExit(int index) throws Exception {
    awaitExit(slots.get(index));
  }

  private void awaitExit(GatewaySlot slot) throws Exception {
    slot.process.awaitExit();
    severeLines += slot.process.severeLines();
    callOnLoop(
        () -> {
          links.setGatewayPort(slot.index, 0);
          if (slot.awayPeriods.isEmpty()
              || slot.awayPeriods.get(slot.awayPeriods.size() - 1)[1] != 0) {
            slot.awayPeriods.add(new long[] {System.nanoTime(), 0});
          }
          return null;
        });
  }

  /** SIGSTOP, and SIGCONT so many milliseconds later. */
  public void pause(int index, long durationMillis) throws Exception {
    GatewaySlot slot = slots.get(index);
    callOnLoop(
        () -> {
          long now = System.nanoTime();
          slot.awayPeriods.add(
              new long[] {now, now + durationMillis * NANOS_PER_MILLI + WAKE_ALLOWANCE_NANOS / 2});
          slot.runningSinceNanos = now + durationMillis * NANOS_PER_MILLI;
          return null;
        });
    slot.process.pause(durationMillis);
  }

  /**
   * Settings that follow those of [fleet], for all from now on: those that run are told to read
   * them again.
   */
  public void reloadAll(String sections) throws Exception {
    extraSections = sections;
    for (GatewaySlot slot : slots) {
      writeSettings(slot);
      if (slot.process != null && slot.process.isAlive()) {
        slot.process.hangUp();
      }
    }
  }

  /** A cache says nothing more, or goes on. */
  public void setCacheHung(String cacheId, boolean hung) throws Exception {
    callOnLoop(
        () -> {
          caches.get(cacheId).setHung(hung);
          return null;
        });
  }

  /** How many GETs have come to a cache so far. */
  public long cacheRequestCount(String cacheId) throws Exception {
    return callOnLoop(() -> caches.get(cacheId).requestCount());
  }

  /** Sets a link, one way. */
  public void setLink(int fromNanos, int toNanos, NetworkLinks.LinkCondition condition)
      throws Exception {
    callOnLoop(
        () -> {
          links.setCondition(fromNanos, toNanos, condition);
          return null;
        });
  }

  /** Sets all links. */
  public void setAllLinks(NetworkLinks.LinkCondition condition) throws Exception {
    callOnLoop(
        () -> {
          for (int fromNanos = 0; fromNanos < slots.size(); fromNanos++) {
            for (int toNanos = 0; toNanos < slots.size(); toNanos++) {
              links.setCondition(fromNanos, toNanos, condition);
            }
          }
          return null;
        });
  }

  /**
   * News of caches: an edge drains, one comes back, one restarts cold, an object is purged; half of
   * them stay.
   */
  public void changeDiscovery() throws Exception {
    callOnLoop(
        () -> {
          String id = "e" + random.nextInt(EDGE_CACHES);
          long upCount =
              states.entrySet().stream()
                  .filter(
                      entry ->
                          entry.getKey().startsWith("e") && entry.getValue() == EndpointState.UP)
                  .count();
          switch (random.nextInt(4)) {
            case 0 -> {
              if (states.get(id) == EndpointState.UP && upCount > EDGE_CACHES / 2) {
                announceCache(id, EndpointState.DRAINING, 0);
                auditor.cacheDrained(id);
              }
            }
            case 1 -> {
              if (states.get(id) == EndpointState.DRAINING) {
                auditor.cacheReady(id);
                announceCache(id, EndpointState.UP, 0);
              }
            }
            case 2 -> {
              if (states.get(id) == EndpointState.UP && upCount > EDGE_CACHES / 2) {
                announceCache(id, EndpointState.GONE, 0);
                caches.get(id).close();
                vertx.setTimer(
                    50,
                    timer ->
                        caches
                            .get(id)
                            .listen()
                            .onSuccess(
                                listens -> {
                                  announceCache(id, EndpointState.UP, System.currentTimeMillis());
                                  auditor.cacheStartedCold(id, EDGE_WEIGHT);
                                }));
              }
            }
            default -> {
              String object = String.format("%016x", 1 + random.nextInt(OBJECTS));
              long atMillis = System.currentTimeMillis();
              journal.announcePurge(object, atMillis);
              auditor.objectPurged(object, atMillis);
              caches
                  .values()
                  .forEach(
                      cacheId ->
                          vertx.setTimer(
                              1 + random.nextLong(MAX_PURGE_DELAY_MILLIS),
                              late -> cacheId.drop(object)));
            }
          }
          return null;
        });
  }

  // ---- What a scenario looks at.

  /** A page of a gateway's desk; fails where it does not answer. */
  public JsonObject adminPage(int index, String path) throws Exception {
    // On the loop: elsewhere an answer may come before anybody listens to it.
    return EventLoopWaiter.await(
            callOnLoop(
                () ->
                    client
                        .request(HttpMethod.GET, slots.get(index).adminPort, "127.0.0.1", path)
                        .compose(request -> request.send())
                        .compose(answer -> answer.body())))
        .toJsonObject();
  }

  public List<GatewaySlot> slots() {
    return slots;
  }

  public RuleAuditor auditor() {
    return auditor;
  }

  public NetworkLinks links() {
    return links;
  }

  /** Lines of the worst kind in all logs, of those that have ended. */
  public int severeLines() {
    return severeLines;
  }

  /**
   * GETs returned of those that were to be sent, from one time to another (nanoTime), of gateways
   * that were there.
   */
  public double servedShare(long fromNanos, long toNanos) throws Exception {
    return callOnLoop(
        () -> {
          long process = 0;
          long returnedCount = 0;
          for (long second = (fromNanos - beganNanos) / (1000 * NANOS_PER_MILLI) + 1;
              second < (toNanos - beganNanos) / (1000 * NANOS_PER_MILLI);
              second++) {
            process += offeredBySecond[(int) second];
            returnedCount += returnedBySecond[(int) second];
          }
          return process == 0 ? 1 : (double) returnedCount / process;
        });
  }

  /**
   * Clients send nothing more, and all that is open is waited for; then how GETs ended, by name,
   * over all gateways.
   */
  public Map<String, Long> settle() throws Exception {
    callOnLoop(
        () -> {
          slots.forEach(slot -> slot.loadGenerators.forEach(LoadGenerator::stop));
          return null;
        });
    Thread.sleep(REQUEST_TIMEOUT_MILLIS + 2 * POLL_MILLIS);
    return callOnLoop(
        () -> {
          Map<String, Long> outcomes = new LinkedHashMap<>();
          for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
            outcomes.put(outcome.name().toLowerCase(java.util.Locale.ROOT), 0L);
          }
          outcomes.put("excused", 0L);
          outcomes.put("unsent", 0L);
          for (GatewaySlot slot : slots) {
            for (LoadGenerator loadGenerator : slot.loadGenerators) {
              for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
                outcomes.merge(
                    outcome.name().toLowerCase(java.util.Locale.ROOT),
                    loadGenerator.countOf(outcome),
                    Long::sum);
              }
              outcomes.merge("excused", loadGenerator.excusedLosses(), Long::sum);
              outcomes.merge("unsent", loadGenerator.notSent(), Long::sum);
            }
          }
          return outcomes;
        });
  }

  private void killAll() {
    slots.stream().filter(slot -> slot.process != null).forEach(slot -> slot.process.kill());
  }

  @Override
  public void close() throws Exception {
    for (GatewaySlot slot : slots) {
      if (slot.process != null && slot.process.isAlive()) {
        slot.process.terminate();
      }
    }
    for (GatewaySlot slot : slots) {
      if (slot.process != null) {
        slot.process.awaitExit();
      }
    }
    Runtime.getRuntime().removeShutdownHook(killOnExit);
    EventLoopWaiter.await(vertx.close());
  }
}
