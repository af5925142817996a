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
 * Testbed that runs several gateways as real processes among stand-in caches, a hub, an origin, a
 * journal and clients that send on a schedule, with a relay on each link between two gateways. A
 * scenario calls the public methods from one thread. No gateway process outlives the testbed.
 */
@SuppressWarnings("try") // close() blocks; an InterruptedException ends the experiment.
public final class ProcessTestbed implements AutoCloseable {
  private static final long START_TIMEOUT_SECONDS = 30;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final long VIEW_POLL_MILLIS = 200;
  private static final long REQUEST_TIMEOUT_MILLIS = 1500;
  private static final int CLIENT_CONNECTIONS = 4;
  private static final int ORDERS_RATE_DIVISOR = 10;

  /**
   * The parameters of a testbed.
   *
   * @param seed the seed of faults, clients and changes of the caches
   * @param gateways how many slots for gateways there are
   * @param expectedMembers the highest number of gateways that the operators expect to run, as the
   *     settings name it; 0 omits the section [fleet]
   * @param requestsPerSecond requests of the repeatable traffic class per second and gateway; a
   *     tenth of it, at least one, is added in the other class
   * @param folder the folder of settings and logs
   * @param extraSections sections of the INI file that follow [fleet]
   */
  public record Plan(
      long seed,
      int gateways,
      int expectedMembers,
      int requestsPerSecond,
      Path folder,
      String extraSections) {
    /** Creates a plan with no section other than [fleet]. */
    public Plan(long seed, int gateways, int expectedMembers, int requestsPerSecond, Path folder) {
      this(seed, gateways, expectedMembers, requestsPerSecond, folder, "");
    }
  }

  private final Plan plan;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final SplittableRandom random;
  private final StandInJournal journal = new StandInJournal(vertx);
  private final HttpClient adminClient =
      vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
  private final List<GatewaySlot> slots;
  private final ServiceRecord serviceRecord =
      new ServiceRecord(REQUEST_TIMEOUT_MILLIS * NANOS_PER_MILLI);
  private final NetworkLinks links;
  private final SlotSettings slotSettings;
  private final Thread killOnExit = new Thread(this::killAll, "process testbed");
  private RuleAuditor auditor;
  private TestbedCaches caches;
  private int severeLines;

  /** Starts the stand-ins and the relays; no gateway runs yet. */
  public ProcessTestbed(Plan plan) throws Exception {
    this.plan = plan;
    random = new SplittableRandom(plan.seed());
    links = new NetworkLinks(vertx, plan.gateways(), random.nextLong());
    slotSettings = new SlotSettings(plan, links, journal);
    slots = IntStream.range(0, plan.gateways()).mapToObj(GatewaySlot::new).toList();
    Runtime.getRuntime().addShutdownHook(killOnExit);
    EventLoopWaiter.await(
        callOnLoop(
            () -> {
              auditor = new RuleAuditor(vertx);
              caches = new TestbedCaches(vertx, journal, auditor, random);
              return Future.all(journal.listen(), links.startRelays(), caches.listen());
            }));
    runOnLoop(caches::announceAll);
    slotSettings.writeKeyFile();
  }

  /** Runs a callable on the testbed's event loop and blocks until its result is available. */
  public <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  private void runOnLoop(Runnable task) throws Exception {
    EventLoopWaiter.runOnLoop(vertx, task);
  }

  // ---- Processes.

  /**
   * Starts a gateway in each slot and blocks until all of them serve. From then on the views of all
   * running gateways are polled.
   */
  public void startAll() throws Exception {
    for (GatewaySlot slot : slots) {
      launch(slot);
    }
    for (GatewaySlot slot : slots) {
      awaitServing(slot);
    }
    runOnLoop(() -> vertx.setPeriodic(VIEW_POLL_MILLIS, tick -> slots.forEach(this::pollView)));
  }

  /** Starts a gateway in a slot and blocks until it serves. */
  public void start(int index) throws Exception {
    launch(slots.get(index));
    awaitServing(slots.get(index));
  }

  private void launch(GatewaySlot slot) throws IOException {
    Path config = slotSettings.writeJsonSettings(slot);
    List<String> arguments = new ArrayList<>(List.of("org.amberpath.cli.Main", "serve"));
    if (plan.expectedMembers() > 0) {
      arguments.addAll(List.of("--file", slotSettings.writeIniFile(slot).toString()));
    }
    slot.setProcess(
        new GatewayProcess(
            arguments,
            Map.of("PROXY_CONFIG", config.toString()),
            plan.folder().resolve(slot.name() + ".log")));
  }

  private void awaitServing(GatewaySlot slot) throws Exception {
    GatewayProcess process = slot.process();
    if (plan.expectedMembers() > 0) {
      int fleetPort = process.fleetPort().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      runOnLoop(() -> links.setGatewayPort(slot.index(), fleetPort));
      slot.setAdminPort(process.adminPort().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
    int clientPort = process.clientPort().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    slot.onServing();
    EventLoopWaiter.await(callOnLoop(() -> startClients(slot, clientPort)));
  }

  private Future<?> startClients(GatewaySlot slot, int port) {
    slot.endUnavailability();
    List<Future<?>> connecting = new ArrayList<>();
    for (String trafficClass : List.of(LabSettings.CLIPS, LabSettings.ORDERS)) {
      LoadGenerator loadGenerator =
          new LoadGenerator(
                  vertx,
                  trafficClass,
                  REQUEST_TIMEOUT_MILLIS,
                  random.nextLong(),
                  response -> responseReceived(slot, response))
              .withLossExcuse(slot::wasUnavailable)
              .withSendListener(sentAtNanos -> serviceRecord.offered(slot, sentAtNanos));
      slot.loadGenerators().add(loadGenerator);
      int rate =
          trafficClass.equals(LabSettings.CLIPS)
              ? plan.requestsPerSecond()
              : Math.max(1, plan.requestsPerSecond() / ORDERS_RATE_DIVISOR);
      connecting.add(loadGenerator.start(port, CLIENT_CONNECTIONS, rate));
    }
    return Future.all(connecting);
  }

  private void responseReceived(GatewaySlot slot, LoadGenerator.Response response) {
    auditor.responseReceived(response);
    serviceRecord.returned(slot, response.sentAtNanos());
  }

  /** Kills a gateway with SIGKILL and blocks until its process has ended. */
  public void kill(int index) throws Exception {
    GatewaySlot slot = slots.get(index);
    runOnLoop(
        () -> {
          slot.stopServing();
          slot.beginUnavailability();
        });
    slot.process().kill();
    awaitExit(index);
  }

  /**
   * Sends SIGTERM to a gateway. Its clients stop sending; their open requests must still be
   * answered.
   */
  public void terminate(int index) throws Exception {
    GatewaySlot slot = slots.get(index);
    runOnLoop(slot::stopServing);
    slot.process().terminate();
  }

  /**
   * Waits for the end of a process that was killed or terminated, and adds the SEVERE lines of its
   * log to the total.
   */
  public void awaitExit(int index) throws Exception {
    GatewaySlot slot = slots.get(index);
    slot.process().awaitExit();
    severeLines += slot.process().severeLineCount();
    runOnLoop(
        () -> {
          links.setGatewayPort(slot.index(), 0);
          slot.beginUnavailability();
        });
  }

  /** Pauses a gateway with SIGSTOP for the given time. */
  public void pause(int index, long durationMillis) throws Exception {
    GatewaySlot slot = slots.get(index);
    runOnLoop(() -> slot.onPaused(durationMillis * NANOS_PER_MILLI));
    slot.process().pause(durationMillis);
  }

  /**
   * Replaces the sections that follow [fleet], and makes all running gateways reload their settings
   * (SIGHUP).
   */
  public void reloadAll(String sections) throws Exception {
    slotSettings.setExtraSections(sections);
    for (GatewaySlot slot : slots) {
      slotSettings.writeIniFile(slot);
      if (slot.process() != null && slot.process().isAlive()) {
        slot.process().hangUp();
      }
    }
  }

  // ---- Caches and links.

  /** Hangs a cache: it accepts requests and answers none. */
  public void hangCache(String id) throws Exception {
    runOnLoop(() -> caches.cache(id).hang());
  }

  /** Ends the hang of a cache. */
  public void resumeCache(String id) throws Exception {
    runOnLoop(() -> caches.cache(id).resume());
  }

  /** Returns the number of requests that a cache has received so far. */
  public long cacheRequestCount(String id) throws Exception {
    return callOnLoop(() -> caches.cache(id).requestCount());
  }

  /** Makes one random change of a cache, or purges an object, and announces it in the journal. */
  public void changeDiscovery() throws Exception {
    runOnLoop(caches::makeRandomChange);
  }

  /** Sets the condition of a link, in one direction. */
  public void setLink(int from, int to, NetworkLinks.LinkCondition condition) throws Exception {
    runOnLoop(() -> links.setCondition(from, to, condition));
  }

  /** Sets the condition of all links. */
  public void setAllLinks(NetworkLinks.LinkCondition condition) throws Exception {
    runOnLoop(() -> links.setAllConditions(condition));
  }

  // ---- Observations of a scenario.

  private void pollView(GatewaySlot slot) {
    GatewayProcess process = slot.process();
    if (plan.expectedMembers() > 0 && slot.isRunning()) {
      requestPage(slot, "/fleet")
          .onSuccess(
              page -> {
                if (slot.process() == process && slot.isRunning()) {
                  slot.setView(page.put("asked_at", System.nanoTime()));
                }
              });
    }
  }

  private Future<JsonObject> requestPage(GatewaySlot slot, String path) {
    return adminClient
        .request(HttpMethod.GET, slot.adminPort(), "127.0.0.1", path)
        .compose(request -> request.send())
        .compose(response -> response.body())
        .map(body -> body.toJsonObject());
  }

  /** Returns a page of the admin endpoint of a gateway; throws if the endpoint does not answer. */
  public JsonObject adminPage(int index, String path) throws Exception {
    // On the event loop: on another thread the response could arrive before its handler is set.
    return EventLoopWaiter.await(callOnLoop(() -> requestPage(slots.get(index), path)));
  }

  /** Returns the slots of all gateways. */
  public List<GatewaySlot> slots() {
    return slots;
  }

  /** Returns the auditor of the service rules. */
  public RuleAuditor auditor() {
    return auditor;
  }

  /** Returns the links between the gateways. */
  public NetworkLinks links() {
    return links;
  }

  /** Returns the number of SEVERE lines in the logs of all processes that have ended. */
  public int severeLines() {
    return severeLines;
  }

  /**
   * Returns the fraction of scheduled requests that were returned, among the requests that were
   * scheduled between two times ({@link System#nanoTime}) to gateways that could serve.
   */
  public double servedShare(long fromNanos, long toNanos) throws Exception {
    return callOnLoop(() -> serviceRecord.returnedShare(fromNanos, toNanos));
  }

  /**
   * Stops all clients, waits until open requests have ended, and returns the number of requests by
   * outcome.
   */
  public Map<String, Long> stopClientsAndCountOutcomes() throws Exception {
    runOnLoop(() -> slots.forEach(slot -> slot.loadGenerators().forEach(LoadGenerator::stop)));
    Thread.sleep(REQUEST_TIMEOUT_MILLIS + 2 * VIEW_POLL_MILLIS);
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
