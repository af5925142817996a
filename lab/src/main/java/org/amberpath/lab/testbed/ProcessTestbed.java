package org.amberpath.lab.testbed;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.LoadGenerator;

/**
 * Several gateways as real processes among stand-in caches, a hub, the origin, a journal and
 * clients that send on a schedule, with a relay on every link between two gateways. A scenario
 * calls its public methods from one thread; no process that was started outlives it.
 */
@SuppressWarnings("try") // Closing waits for processes; an interrupt ends the experiment.
public final class ProcessTestbed implements AutoCloseable {
  private static final long TIMEOUT_SECONDS = 30;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final long POLL_MILLIS = 200;
  private static final long REQUEST_TIMEOUT_MILLIS = 1500;
  private static final int CLIENT_CONNECTIONS = 4;
  private static final int ORDERS_PART = 10;

  /**
   * What is to be run.
   *
   * @param gateways how many slots for gateways there are
   * @param expectedMembers the most that the operators expect to run; 0 leaves [fleet] off
   * @param requestsPerSecond to each gateway
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
    /** One with no section besides [fleet]. */
    public Plan(long seed, int gateways, int expectedMembers, int requestsPerSecond, Path folder) {
      this(seed, gateways, expectedMembers, requestsPerSecond, folder, "");
    }
  }

  private final Plan plan;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final SplittableRandom random;
  private final StandInJournal journal = new StandInJournal(vertx);
  private final HttpClient client =
      vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
  private final List<GatewaySlot> slots;
  private final ServiceRecord service = new ServiceRecord(REQUEST_TIMEOUT_MILLIS * NANOS_PER_MILLI);
  private final NetworkLinks links;
  private final SlotSettings settings;
  private final Thread killOnExit = new Thread(this::killAll, "process testbed");
  private RuleAuditor auditor;
  private TestbedCaches caches;
  private int severeLines;

  /** Opens the stand-ins and the links; no gateway runs yet. */
  public ProcessTestbed(Plan plan) throws Exception {
    this.plan = plan;
    random = new SplittableRandom(plan.seed());
    links = new NetworkLinks(vertx, plan.gateways(), random.nextLong());
    settings = new SlotSettings(plan, links, journal);
    slots = IntStream.range(0, plan.gateways()).mapToObj(GatewaySlot::new).toList();
    Runtime.getRuntime().addShutdownHook(killOnExit);
    EventLoopWaiter.await(
        callOnLoop(
            () -> {
              auditor = new RuleAuditor(vertx);
              caches = new TestbedCaches(vertx, journal, auditor, random);
              return Future.all(journal.listen(), links.open(), caches.listen());
            }));
    runOnLoop(caches::announceAll);
    settings.writeKeys();
  }

  /** Runs on the testbed's event loop, and waits for what comes of it. */
  public <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  private void runOnLoop(Runnable task) throws Exception {
    EventLoopWaiter.runOnLoop(vertx, task);
  }

  // ---- Processes.

  /** Starts a gateway in each slot, and waits until all serve; then their views are polled. */
  public void startAll() throws Exception {
    for (GatewaySlot slot : slots) {
      launch(slot);
    }
    for (GatewaySlot slot : slots) {
      awaitServing(slot);
    }
    runOnLoop(() -> vertx.setPeriodic(POLL_MILLIS, tick -> slots.forEach(this::pollView)));
  }

  /** Starts a gateway in a slot, and waits until it serves. */
  public void start(int index) throws Exception {
    launch(slots.get(index));
    awaitServing(slots.get(index));
  }

  private void launch(GatewaySlot slot) throws IOException {
    Path config = settings.writeConfig(slot);
    List<String> arguments = new ArrayList<>(List.of("org.amberpath.cli.Main", "serve"));
    if (plan.expectedMembers() > 0) {
      arguments.addAll(List.of("--file", settings.writeSections(slot).toString()));
    }
    slot.launched(
        new GatewayProcess(
            arguments,
            Map.of("PROXY_CONFIG", config.toString()),
            plan.folder().resolve(slot.name() + ".log")));
  }

  private void awaitServing(GatewaySlot slot) throws Exception {
    GatewayProcess process = slot.process();
    if (plan.expectedMembers() > 0) {
      int fleetPort = process.fleetPort().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      runOnLoop(() -> links.setGatewayPort(slot.index(), fleetPort));
      slot.setAdminPort(process.adminPort().get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
    int clientPort = process.clientPort().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    slot.serving();
    EventLoopWaiter.await(callOnLoop(() -> startClients(slot, clientPort)));
  }

  private Future<?> startClients(GatewaySlot slot, int port) {
    slot.endAway();
    List<Future<?>> connecting = new ArrayList<>();
    for (String trafficClass : List.of(LabSettings.CLIPS, LabSettings.ORDERS)) {
      LoadGenerator loadGenerator =
          new LoadGenerator(
                  vertx,
                  trafficClass,
                  REQUEST_TIMEOUT_MILLIS,
                  random.nextLong(),
                  response -> responseReceived(slot, response))
              .withLossExcuse(slot::wasAway)
              .withSendListener(sentAtNanos -> service.offered(slot, sentAtNanos));
      slot.loadGenerators().add(loadGenerator);
      int rate =
          trafficClass.equals(LabSettings.CLIPS)
              ? plan.requestsPerSecond()
              : Math.max(1, plan.requestsPerSecond() / ORDERS_PART);
      connecting.add(loadGenerator.start(port, CLIENT_CONNECTIONS, rate));
    }
    return Future.all(connecting);
  }

  private void responseReceived(GatewaySlot slot, LoadGenerator.Response response) {
    auditor.responseReceived(response);
    service.returned(slot, response.sentAtNanos());
  }

  /** Kills a gateway (SIGKILL), and waits for its end. */
  public void kill(int index) throws Exception {
    GatewaySlot slot = slots.get(index);
    runOnLoop(
        () -> {
          slot.stopServing();
          slot.beginAway();
        });
    slot.process().kill();
    awaitExit(index);
  }

  /** Sends SIGTERM. Its clients send nothing more; what they sent must still be answered. */
  public void terminate(int index) throws Exception {
    GatewaySlot slot = slots.get(index);
    runOnLoop(slot::stopServing);
    slot.process().terminate();
  }

  /** Waits for the end of one that was killed or terminated, and counts severe log lines. */
  public void awaitExit(int index) throws Exception {
    GatewaySlot slot = slots.get(index);
    slot.process().awaitExit();
    severeLines += slot.process().severeLines();
    runOnLoop(
        () -> {
          links.setGatewayPort(slot.index(), 0);
          slot.beginAway();
        });
  }

  /** Pauses a gateway (SIGSTOP) for so long. */
  public void pause(int index, long durationMillis) throws Exception {
    GatewaySlot slot = slots.get(index);
    runOnLoop(() -> slot.paused(durationMillis * NANOS_PER_MILLI));
    slot.process().pause(durationMillis);
  }

  /** Sets the sections that follow [fleet], and has all that run read them again. */
  public void reloadAll(String sections) throws Exception {
    settings.setExtraSections(sections);
    for (GatewaySlot slot : slots) {
      settings.writeSections(slot);
      if (slot.process() != null && slot.process().isAlive()) {
        slot.process().hangUp();
      }
    }
  }

  // ---- Caches and links.

  /** Has a cache take requests and answer none. */
  public void hangCache(String id) throws Exception {
    runOnLoop(() -> caches.cache(id).hang());
  }

  /** Has a cache that hangs answer again. */
  public void resumeCache(String id) throws Exception {
    runOnLoop(() -> caches.cache(id).resume());
  }

  /** How many requests have come to a cache so far. */
  public long cacheRequestCount(String id) throws Exception {
    return callOnLoop(() -> caches.cache(id).requestCount());
  }

  /** Makes one change of the caches, or a purge, and has the journal announce it. */
  public void changeDiscovery() throws Exception {
    runOnLoop(caches::change);
  }

  /** Sets a link, one way. */
  public void setLink(int from, int to, NetworkLinks.LinkCondition condition) throws Exception {
    runOnLoop(() -> links.setCondition(from, to, condition));
  }

  /** Sets all links. */
  public void setAllLinks(NetworkLinks.LinkCondition condition) throws Exception {
    runOnLoop(() -> links.setAll(condition));
  }

  // ---- What a scenario looks at.

  private void pollView(GatewaySlot slot) {
    GatewayProcess process = slot.process();
    if (plan.expectedMembers() > 0 && slot.isRunning()) {
      requestPage(slot, "/fleet")
          .onSuccess(
              page -> {
                if (slot.process() == process && slot.isRunning()) {
                  slot.viewReceived(page.put("asked_at", System.nanoTime()));
                }
              });
    }
  }

  private Future<JsonObject> requestPage(GatewaySlot slot, String path) {
    return client
        .request(HttpMethod.GET, slot.adminPort(), "127.0.0.1", path)
        .compose(request -> request.send())
        .compose(response -> response.body())
        .map(body -> body.toJsonObject());
  }

  /** A page of a gateway's admin endpoint; fails where it does not answer. */
  public JsonObject adminPage(int index, String path) throws Exception {
    // On the loop: elsewhere an answer may come before anybody listens to it.
    return EventLoopWaiter.await(callOnLoop(() -> requestPage(slots.get(index), path)));
  }

  /** The slots of all gateways. */
  public List<GatewaySlot> slots() {
    return slots;
  }

  /** The judge of the rules. */
  public RuleAuditor auditor() {
    return auditor;
  }

  /** The links between gateways. */
  public NetworkLinks links() {
    return links;
  }

  /** Severe lines in the logs of all processes that have ended. */
  public int severeLines() {
    return severeLines;
  }

  /**
   * Requests returned of those that were to be sent between two times (nanoTime), to gateways that
   * were there.
   */
  public double servedShare(long fromNanos, long toNanos) throws Exception {
    return callOnLoop(() -> service.share(fromNanos, toNanos));
  }

  /** Stops all clients, waits for what is open, and says how requests ended, by name. */
  public Map<String, Long> settle() throws Exception {
    runOnLoop(() -> slots.forEach(slot -> slot.loadGenerators().forEach(LoadGenerator::stop)));
    Thread.sleep(REQUEST_TIMEOUT_MILLIS + 2 * POLL_MILLIS);
    return callOnLoop(() -> ServiceRecord.outcomes(slots));
  }

  private void killAll() {
    slots.stream().filter(slot -> slot.process() != null).forEach(slot -> slot.process().kill());
  }

  @Override
  public void close() throws Exception {
    for (GatewaySlot slot : slots) {
      if (slot.process() != null && slot.process().isAlive()) {
        slot.process().terminate();
      }
    }
    for (GatewaySlot slot : slots) {
      if (slot.process() != null) {
        slot.process().awaitExit();
      }
    }
    Runtime.getRuntime().removeShutdownHook(killOnExit);
    EventLoopWaiter.await(vertx.close());
  }
}
