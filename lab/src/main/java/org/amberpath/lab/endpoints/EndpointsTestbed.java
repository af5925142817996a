package org.amberpath.lab.endpoints;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.LoadGenerator;
import org.amberpath.lab.StandInCache;
import org.amberpath.lab.testbed.GatewayProcess;
import org.amberpath.lab.testbed.RuleAuditor;
import org.amberpath.lab.testbed.StandInJournal;
import org.amberpath.lab.testbed.StandInJournal.Instance;
import org.amberpath.routing.EndpointState;

/**
 * Testbed of one real gateway among stand-in endpoints, half of which are replaced in steps while
 * clients send requests.
 *
 * <p>Bounds: the endpoints of one size and those that replace half of them, with two descriptors
 * each, and the connections of the gateway.
 */
@SuppressWarnings("try") // close() blocks; an InterruptedException ends the experiment.
final class EndpointsTestbed implements AutoCloseable {
  /**
   * The address of the endpoints, not 127.0.0.1: with this many ports in use, processes of other
   * experiments on the same machine would connect to ports that were theirs before.
   */
  private static final String LOOPBACK = "127.83." + ProcessHandle.current().pid() % 250 + ".1";

  /** One endpoint in this many is a parent, from which caches are filled. */
  private static final int ENDPOINTS_PER_PARENT = 20;

  /** The total capacity of the endpoints, per gateway that the settings name. */
  private static final double CAPACITY_PER_GATEWAY = 1;

  private static final String ORIGIN_ID = "o0";
  private static final double ORIGIN_WEIGHT = 1000;
  private static final int HIT_MILLIS = 2;
  private static final int FILL_MILLIS = 8;
  private static final int ORIGIN_RESPONSE_MILLIS = 10;
  private static final int OBJECT_COUNT = 4000;
  private static final double ZIPF_EXPONENT = 1.05;
  private static final int IDLE_SECONDS = 12;
  private static final int CLIENT_CONNECTIONS = 8;
  private static final int ORDERS_RATE_DIVISOR = 10;
  private static final long REQUEST_TIMEOUT_MILLIS = 1500;
  private static final long REPLACEMENT_STEP_MILLIS = 500;

  /**
   * The fractions of the measurement after which the replacement begins, and during which it lasts.
   */
  private static final double REPLACEMENT_START_SHARE = 0.2;

  private static final double REPLACEMENT_DURATION_SHARE = 0.6;
  private static final long DRAIN_MILLIS = 1000;
  private static final long SAMPLE_MILLIS = 50;
  private static final long START_TIMEOUT_SECONDS = 30;
  private static final long MILLIS_PER_SECOND = 1000;

  private final EndpointsSizeExperiment.Plan plan;
  private final int endpoints;
  private final Path folder;
  private final String name;
  private final double weight;
  private final SplittableRandom random;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInJournal journal = new StandInJournal(vertx);
  private final Map<String, StandInCache> caches = new HashMap<>();
  private final ArrayDeque<String> toReplace = new ArrayDeque<>();
  private final List<LoadGenerator> loadGenerators = new ArrayList<>();
  private final RuleAuditor auditor;
  private final Map<String, Object> details = new LinkedHashMap<>();
  private final Thread shutdownHook = new Thread(this::killGateway, "endpoints testbed");
  private GatewayProcess gateway;
  private ProcessUsage usage;
  private int nextId;

  EndpointsTestbed(EndpointsSizeExperiment.Plan plan, int endpoints, String name) throws Exception {
    this.plan = plan;
    this.endpoints = endpoints;
    this.name = name;
    folder = plan.folder();
    weight = CAPACITY_PER_GATEWAY * plan.gateways() / endpoints;
    random = new SplittableRandom(plan.seed());
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    auditor = callOnLoop(() -> new RuleAuditor(vertx));
    EventLoopWaiter.await(callOnLoop(journal::listen));
    startEndpoints();
  }

  private <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  private void startEndpoints() throws Exception {
    EventLoopWaiter.await(
        callOnLoop(
            () -> {
              List<Future<?>> listening = new ArrayList<>(List.of(startCache(ORIGIN_ID)));
              for (int index = 0; index < endpoints; index++) {
                listening.add(startCache(newId(index % ENDPOINTS_PER_PARENT == 0)));
              }
              return Future.all(listening);
            }));
    callOnLoop(
        () -> {
          List<String> ids = caches.keySet().stream().sorted().toList();
          journal.announceCaches(
              StandInJournal.ListScope.FULL,
              ids.stream().map(id -> instance(id, EndpointState.UP, 0)).toList());
          ids.stream().filter(id -> !id.equals(ORIGIN_ID)).forEach(toReplace::add);
          selectReplacements();
          return null;
        });
  }

  /** Selects half of the endpoints for replacement, in a random order that the seed determines. */
  private void selectReplacements() {
    List<String> ids = new ArrayList<>(toReplace);
    Collections.shuffle(ids, new Random(random.nextLong()));
    toReplace.clear();
    toReplace.addAll(ids.subList(0, endpoints / 2));
  }

  private String newId(boolean isParent) {
    return (isParent ? "h" : "e") + nextId++;
  }

  private Future<StandInCache> startCache(String id) {
    boolean isOrigin = id.equals(ORIGIN_ID);
    StandInCache cache =
        new StandInCache(
                vertx,
                id,
                isOrigin ? ORIGIN_RESPONSE_MILLIS : HIT_MILLIS,
                isOrigin ? 0 : FILL_MILLIS,
                caches::get)
            .withListener(auditor::requestReceived)
            .withHost(LOOPBACK);
    caches.put(id, cache);
    return cache.listen();
  }

  private Instance instance(String id, EndpointState state, long startedAtMillis) {
    String kind =
        id.startsWith("e")
            ? LabSettings.EDGE
            : id.startsWith("h") ? LabSettings.HUB : LabSettings.ORIGIN;
    return new Instance(
        id,
        caches.get(id).address(),
        kind,
        id.equals(ORIGIN_ID) ? ORIGIN_WEIGHT : weight,
        state,
        startedAtMillis);
  }

  /**
   * Starts the gateway, runs the clients while endpoints are replaced, and returns the resource
   * usage of the gateway.
   */
  GatewayUsage measure() throws Exception {
    int port = startGateway();
    long sampler =
        callOnLoop(() -> vertx.setPeriodic(SAMPLE_MILLIS, tick -> usage.sampleDescriptors()));
    details.put("cpu_s_at_start", usage.cpuSeconds());
    details.put("memory_mb_at_start", usage.peakMemoryMegabytes());
    long bytesAtStart = callOnLoop(journal::bytesSent);
    startClients(port);
    long replacer = callOnLoop(this::startReplacement);
    Thread.sleep(plan.seconds() * MILLIS_PER_SECOND);
    callOnLoop(
        () -> {
          vertx.cancelTimer(replacer);
          loadGenerators.forEach(LoadGenerator::stop);
          return null;
        });
    Thread.sleep(REQUEST_TIMEOUT_MILLIS + DRAIN_MILLIS);
    callOnLoop(() -> vertx.cancelTimer(sampler));
    double cpuSeconds = usage.cpuSeconds();
    double peakMemory = usage.peakMemoryMegabytes();
    GatewayUsage measured =
        callOnLoop(
            () ->
                new GatewayUsage(
                    endpoints,
                    cpuSeconds,
                    peakMemory,
                    usage.peakDescriptors(),
                    caches.values().stream().mapToLong(StandInCache::connectionCount).sum(),
                    journal.bytesSent() - bytesAtStart,
                    shareServed()));
    stopGateway();
    return measured;
  }

  private int startGateway() throws Exception {
    Path config = folder.resolve(name + ".json");
    Path log = folder.resolve(name + ".log");
    Files.deleteIfExists(log);
    Files.writeString(
        config,
        LabSettings.json(
            name,
            plan.seed(),
            journal.address(),
            plan.gateways(),
            IDLE_SECONDS,
            "\"limits\":{\"sockets\":"
                + plan.sockets()
                + "},\"known\":"
                + callOnLoop(journal::allEvents)
                + ","));
    gateway =
        new GatewayProcess(
            GatewayProcess.DEPLOYED_JVM_FLAGS,
            List.of("org.amberpath.cli.Main", "serve"),
            Map.of("PROXY_CONFIG", config.toString()),
            log);
    usage = new ProcessUsage(gateway.processId());
    return gateway.clientPort().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void startClients(int port) throws Exception {
    EventLoopWaiter.await(
        callOnLoop(
            () -> {
              List<Future<?>> connecting = new ArrayList<>();
              for (String trafficClass : List.of(LabSettings.CLIPS, LabSettings.ORDERS)) {
                LoadGenerator loadGenerator =
                    new LoadGenerator(
                            vertx,
                            trafficClass,
                            REQUEST_TIMEOUT_MILLIS,
                            random.nextLong(),
                            auditor::responseReceived)
                        .withZipfPopularity(OBJECT_COUNT, ZIPF_EXPONENT);
                loadGenerators.add(loadGenerator);
                boolean isOrders = trafficClass.equals(LabSettings.ORDERS);
                int rate =
                    Math.max(
                        1,
                        isOrders ? plan.requestRate() / ORDERS_RATE_DIVISOR : plan.requestRate());
                connecting.add(loadGenerator.start(port, CLIENT_CONNECTIONS, rate));
              }
              return Future.all(connecting);
            }));
  }

  // ---- Replacement of endpoints.

  private long startReplacement() {
    long lengthMillis = (long) (plan.seconds() * MILLIS_PER_SECOND * REPLACEMENT_DURATION_SHARE);
    long steps = Math.max(1, lengthMillis / REPLACEMENT_STEP_MILLIS);
    int endpointsPerStep = (int) Math.ceil((double) toReplace.size() / steps);
    long firstMillis =
        Math.max(1, (long) (plan.seconds() * MILLIS_PER_SECOND * REPLACEMENT_START_SHARE));
    return vertx.setPeriodic(
        firstMillis,
        REPLACEMENT_STEP_MILLIS,
        tick -> {
          for (int index = 0; index < endpointsPerStep && !toReplace.isEmpty(); index++) {
            replace(toReplace.remove());
          }
        });
  }

  private void replace(String oldId) {
    String newId = newId(oldId.startsWith("h"));
    startCache(newId)
        .onSuccess(
            ignored -> {
              long now = System.currentTimeMillis();
              announce(instance(newId, EndpointState.UP, now));
              auditor.cacheStartedCold(newId, weight);
              announce(instance(oldId, EndpointState.DRAINING, 0));
              auditor.cacheDrained(oldId);
              vertx.setTimer(
                  DRAIN_MILLIS,
                  timer -> {
                    announce(instance(oldId, EndpointState.GONE, 0));
                    caches.get(oldId).close();
                  });
            });
  }

  /** Announces one changed endpoint, in a journal event of its own. */
  private void announce(Instance changed) {
    journal.announceCaches(StandInJournal.ListScope.CHANGES, List.of(changed));
  }

  // ---- Results.

  private long countOf(LoadGenerator.Outcome outcome) {
    return loadGenerators.stream().mapToLong(generator -> generator.countOf(outcome)).sum();
  }

  private double shareServed() {
    long scheduledCount =
        loadGenerators.stream()
            .mapToLong(generator -> generator.notSentCount() + generator.pendingCount())
            .sum();
    for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
      long count = countOf(outcome);
      details.put(outcome.name().toLowerCase(Locale.ROOT), count);
      scheduledCount += outcome == LoadGenerator.Outcome.TWICE ? 0 : count;
    }
    details.put("left_to_replace", toReplace.size());
    details.put("hits", caches.values().stream().mapToLong(StandInCache::hitCount).sum());
    details.put(
        "caches_asked",
        caches.values().stream().filter(generator -> generator.requestCount() > 0).count());
    return scheduledCount == 0
        ? 0
        : UsageBounds.rounded((double) countOf(LoadGenerator.Outcome.RETURNED) / scheduledCount);
  }

  private void stopGateway() throws Exception {
    gateway.terminate();
    details.put("exit_code", gateway.awaitExit());
    details.put("failures_in_log", gateway.severeLineCount());
    details.putAll(callOnLoop(auditor::figures));
  }

  Map<String, Object> details() {
    return details;
  }

  List<String> violations() throws Exception {
    return callOnLoop(() -> List.copyOf(auditor.violations()));
  }

  long lostOrDuplicatedCount() throws Exception {
    return callOnLoop(
        () -> countOf(LoadGenerator.Outcome.LOST) + countOf(LoadGenerator.Outcome.TWICE));
  }

  private void killGateway() {
    if (gateway != null) {
      gateway.kill();
    }
  }

  @Override
  public void close() throws Exception {
    if (gateway != null && gateway.isAlive()) {
      gateway.terminate();
      gateway.awaitExit();
    }
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
    EventLoopWaiter.await(vertx.close());
  }
}
