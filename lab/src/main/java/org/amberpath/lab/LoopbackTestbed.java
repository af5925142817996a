package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.LongConsumer;
import org.amberpath.gateway.EndpointSource;
import org.amberpath.gateway.Gateway;
import org.amberpath.gateway.GatewayExtensions;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.routing.EndpointState;

/**
 * Testbed that runs one gateway in this process, on loopback, among stand-ins: a registry with
 * several endpoints, edge caches, a hub, an origin, and clients. The gateway has an event loop of
 * its own; all stand-ins share another one. An experiment calls the testbed from a single thread of
 * its own, unless a method requires the event loop of the stand-ins.
 */
@SuppressWarnings("try") // close() blocks; an InterruptedException ends the experiment.
public final class LoopbackTestbed implements AutoCloseable {
  /** The prefix of all the registry's keys. */
  public static final String KEY_PREFIX = "amberpath/lab/";

  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_BUSY_WAIT_NANOS = NANOS_PER_SECOND / 10;
  private static final long PURGE_RETENTION_NANOS = 600 * NANOS_PER_SECOND;
  private static final int MAX_KEYS = 20_000;
  private static final int MAX_MESSAGE_BYTES = 8 << 20;
  private static final double CACHE_WEIGHT = 4;
  private static final long HIT_MILLIS = 2;
  private static final long EDGE_FILL_MILLIS = 8;
  private static final long HUB_FILL_MILLIS = 10;
  private static final long ORIGIN_RESPONSE_MILLIS = 10;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Vertx gatewayVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
  private final Map<String, StandInCache> caches = new LinkedHashMap<>();
  private final long seed;
  private long writeCount;
  private Gateway gateway;

  /** Creates a testbed in which nothing listens yet. */
  public LoopbackTestbed(long seed) {
    this.seed = seed;
  }

  /** Returns the Vert.x instance of the stand-ins, which has one event loop. */
  public Vertx vertx() {
    return vertx;
  }

  /** Returns the stand-in registry. Use on the stand-ins' event loop only. */
  public StandInRegistry registry() {
    return registry;
  }

  /** Returns all caches, hub and origin included. Use on the stand-ins' event loop only. */
  public Collection<StandInCache> caches() {
    return caches.values();
  }

  /**
   * Returns one cache by its id: e0, e1 and so on for edge caches, h0 for the hub, o0 for the
   * origin. Use on the stand-ins' event loop only.
   */
  public StandInCache cache(String id) {
    return caches.get(id);
  }

  /** Runs a callable on the stand-ins' event loop and blocks until its result is available. */
  public <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  /** Runs a task on the stand-ins' event loop and blocks until it has completed. */
  public void runOnLoop(Runnable task) throws Exception {
    EventLoopWaiter.runOnLoop(vertx, task);
  }

  /**
   * Starts the registry and the caches, and registers the caches.
   *
   * @param registryEndpointCount how many endpoints the registry listens on
   * @param edgeCacheCount how many edge caches there are, next to one hub and one origin
   */
  public void startStandIns(int registryEndpointCount, int edgeCacheCount) throws Exception {
    EventLoopWaiter.await(
        callOnLoop(
            () -> {
              List<Future<?>> starting = new ArrayList<>();
              for (int index = 0; index < registryEndpointCount; index++) {
                starting.add(registry.open(0));
              }
              for (int index = 0; index < edgeCacheCount; index++) {
                starting.add(startCache("e" + index, HIT_MILLIS, EDGE_FILL_MILLIS));
              }
              starting.add(startCache("h0", HIT_MILLIS, HUB_FILL_MILLIS));
              starting.add(startCache("o0", ORIGIN_RESPONSE_MILLIS, 0));
              return Future.all(starting);
            }));
    runOnLoop(() -> caches.keySet().forEach(id -> putCache(id, EndpointState.UP)));
  }

  private Future<?> startCache(String id, long hitMillis, long fillMillis) {
    StandInCache cache = new StandInCache(vertx, id, hitMillis, fillMillis, caches::get);
    caches.put(id, cache);
    return cache.listen();
  }

  /**
   * Writes a cache's record and the tip counter into the registry, in one transaction. Call on the
   * stand-ins' event loop only.
   */
  public void putCache(String id, EndpointState state) {
    String kind =
        id.startsWith("e")
            ? LabSettings.EDGE
            : id.startsWith("h") ? LabSettings.HUB : LabSettings.ORIGIN;
    String address = caches.get(id).address();
    write(
        KEY_PREFIX + RecordCodec.CACHES_PREFIX + id,
        Optional.of(
            RecordCodec.encode(
                new RegistryRecord.Cache(
                    id,
                    address,
                    LabSettings.ZONE,
                    kind,
                    OptionalInt.of(0),
                    state,
                    OptionalDouble.of(CACHE_WEIGHT),
                    0))));
  }

  /**
   * Deletes a cache's record from the registry and advances the tip counter, in one transaction.
   * Call on the stand-ins' event loop only.
   */
  public void deleteCache(String id) {
    write(KEY_PREFIX + RecordCodec.CACHES_PREFIX + id, Optional.empty());
  }

  /**
   * Writes one key, or deletes the key if the value is empty, and advances the tip counter, in one
   * transaction. Call on the stand-ins' event loop only.
   */
  public void write(String key, Optional<byte[]> value) {
    Map<String, byte[]> transaction = new TreeMap<>();
    transaction.put(key, value.orElse(null));
    transaction.put(
        KEY_PREFIX + RecordCodec.TIP_KEY,
        Long.toString(++writeCount).getBytes(StandardCharsets.US_ASCII));
    registry.write(transaction);
  }

  /**
   * Returns the settings with which the gateway's registry client connects to the stand-in
   * registry.
   */
  public RegistrySettings registrySettings(RegistrySettings.ProtocolKind protocol) {
    List<SocketAddress> endpoints =
        registry.endpoints().stream()
            .map(endpoint -> SocketAddress.inetSocketAddress(endpoint.port(), "127.0.0.1"))
            .toList();
    return new RegistrySettings(
        protocol,
        endpoints,
        KEY_PREFIX,
        null,
        null,
        null,
        null,
        null,
        null,
        null,
        NANOS_PER_SECOND,
        NANOS_PER_SECOND,
        PURGE_RETENTION_NANOS,
        MAX_KEYS,
        MAX_MESSAGE_BYTES);
  }

  /** Starts the gateway; the factory makes the source from which it receives its caches. */
  public void startGateway(EndpointSource.Factory factory) throws Exception {
    gateway =
        new Gateway(
            gatewayVertx, LabSettings.options(seed, null), new GatewayExtensions(factory, null));
    EventLoopWaiter.await(gateway.start());
  }

  /** Returns the port on which the gateway accepts clients. */
  public int gatewayPort() {
    return gateway.port();
  }

  /** Connects a load generator to the gateway and starts its sending. */
  public LoadGenerator startClients(
      LoadGenerator loadGenerator, int connections, int requestsPerSecond) throws Exception {
    EventLoopWaiter.await(
        callOnLoop(() -> loadGenerator.start(gatewayPort(), connections, requestsPerSecond)));
    return loadGenerator;
  }

  /**
   * Reports how late the gateway's event loop runs a periodic timer.
   *
   * @param tickMillis the period of the timer, in milliseconds
   * @param listener receives the delay of each tick in nanoseconds, on the gateway's event loop
   */
  public void watchGatewayLoop(long tickMillis, LongConsumer listener) {
    long[] dueNanos = {System.nanoTime() + tickMillis * NANOS_PER_MILLI};
    gatewayVertx.setPeriodic(
        tickMillis,
        tick -> {
          long nowNanos = System.nanoTime();
          listener.accept(nowNanos - dueNanos[0]);
          dueNanos[0] = nowNanos + tickMillis * NANOS_PER_MILLI;
        });
  }

  /**
   * Slows the gateway down by busy-waiting on its event loop.
   *
   * @param shareDivisor the gateway keeps one part in this many of its core's time
   */
  public void slowGatewayLoop(int shareDivisor) {
    gatewayVertx
        .getOrCreateContext()
        .runOnContext(loop -> busyWait(shareDivisor, System.nanoTime()));
  }

  private void busyWait(int shareDivisor, long sinceNanos) {
    gatewayVertx.setTimer(
        1,
        timer -> {
          long busyWaitNanos = (shareDivisor - 1) * (System.nanoTime() - sinceNanos);
          long endNanos = System.nanoTime() + Math.min(MAX_BUSY_WAIT_NANOS, busyWaitNanos);
          while (System.nanoTime() < endNanos) {
            Thread.onSpinWait();
          }
          busyWait(shareDivisor, System.nanoTime());
        });
  }

  @Override
  public void close() throws Exception {
    if (gateway != null) {
      EventLoopWaiter.await(gateway.stop());
    }
    EventLoopWaiter.await(gatewayVertx.close());
    EventLoopWaiter.await(vertx.close());
  }
}
