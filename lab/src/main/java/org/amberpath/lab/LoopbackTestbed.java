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
 * A gateway on loopback among stand-ins: a registry of several endpoints, edge caches, a hub and
 * the origin, clients. The gateway has an event loop of its own, the stand-ins share another. An
 * experiment calls it from one thread of its own, unless a method says otherwise.
 */
@SuppressWarnings("try") // Closing waits; an interrupt ends the experiment.
public final class LoopbackTestbed implements AutoCloseable {
  /** Where the registry's keys begin. */
  public static final String PREFIX = "amberpath/lab/";

  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_SPIN_NANOS = NANOS_PER_SECOND / 10;
  private static final long PURGE_RETENTION_NANOS = 600 * NANOS_PER_SECOND;
  private static final int MAX_KEYS = 20_000;
  private static final int MAX_MESSAGE_BYTES = 8 << 20;
  private static final double CACHE_WEIGHT = 4;
  private static final long HIT_MILLIS = 2;
  private static final long EDGE_FILL_MILLIS = 8;
  private static final long HUB_FILL_MILLIS = 10;
  private static final long ORIGIN_MILLIS = 10;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Vertx gatewayVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
  private final Map<String, StandInCache> caches = new LinkedHashMap<>();
  private final long seed;
  private long writes;
  private Gateway gateway;

  /** A testbed in which nothing listens yet. */
  public LoopbackTestbed(long seed) {
    this.seed = seed;
  }

  /** The event loop of the stand-ins. */
  public Vertx vertx() {
    return vertx;
  }

  /** The registry; only for the stand-ins' event loop. */
  public StandInRegistry registry() {
    return registry;
  }

  /** All caches; only for the stand-ins' event loop. */
  public Collection<StandInCache> caches() {
    return caches.values();
  }

  /** One cache: e0, e1 and so on, h0, o0; only for the stand-ins' event loop. */
  public StandInCache cache(String id) {
    return caches.get(id);
  }

  /** Runs on the stand-ins' event loop, and waits for the result. */
  public <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  /** Runs on the stand-ins' event loop, and waits until that is done. */
  public void runOnLoop(Runnable task) throws Exception {
    EventLoopWaiter.runOnLoop(vertx, task);
  }

  /**
   * Opens the registry's endpoints and so many edge caches, a hub and the origin, all in the
   * registry.
   */
  public void open(int endpointCount, int edgeCount) throws Exception {
    EventLoopWaiter.await(
        callOnLoop(
            () -> {
              List<Future<?>> opening = new ArrayList<>();
              for (int index = 0; index < endpointCount; index++) {
                opening.add(registry.open(0));
              }
              for (int index = 0; index < edgeCount; index++) {
                opening.add(listen("e" + index, HIT_MILLIS, EDGE_FILL_MILLIS));
              }
              opening.add(listen("h0", HIT_MILLIS, HUB_FILL_MILLIS));
              opening.add(listen("o0", ORIGIN_MILLIS, 0));
              return Future.all(opening);
            }));
    runOnLoop(() -> caches.keySet().forEach(id -> putCache(id, EndpointState.UP)));
  }

  private Future<?> listen(String id, long hitMillis, long fillMillis) {
    StandInCache cache = new StandInCache(vertx, id, hitMillis, fillMillis, caches::get);
    caches.put(id, cache);
    return cache.listen();
  }

  /** Writes a cache's state into the registry, with the tip; for the stand-ins' event loop. */
  public void putCache(String id, EndpointState state) {
    String kind =
        id.startsWith("e")
            ? LabSettings.EDGE
            : id.startsWith("h") ? LabSettings.HUB : LabSettings.ORIGIN;
    String address = caches.get(id).address();
    write(
        PREFIX + RecordCodec.CACHES_PREFIX + id,
        Optional.of(
            RecordCodec.encode(
                new RegistryRecord.Cache(
                    id, address, LabSettings.ZONE, kind, 0, state, CACHE_WEIGHT, 0))));
  }

  /** Deletes a cache from the registry, with the tip; for the stand-ins' event loop. */
  public void deleteCache(String id) {
    write(PREFIX + RecordCodec.CACHES_PREFIX + id, Optional.empty());
  }

  /**
   * Writes one key, or deletes it where there is no value, and the tip, in one transaction; for the
   * stand-ins' event loop.
   */
  public void write(String key, Optional<byte[]> value) {
    Map<String, byte[]> transaction = new TreeMap<>();
    transaction.put(key, value.orElse(null));
    transaction.put(
        PREFIX + RecordCodec.TIP_KEY, Long.toString(++writes).getBytes(StandardCharsets.US_ASCII));
    registry.write(transaction);
  }

  /** How the gateway reaches the registry. */
  public RegistrySettings registrySettings(RegistrySettings.ProtocolKind protocol) {
    List<SocketAddress> endpoints =
        registry.endpoints().stream()
            .map(endpoint -> SocketAddress.inetSocketAddress(endpoint.port(), "127.0.0.1"))
            .toList();
    return new RegistrySettings(
        protocol,
        endpoints,
        PREFIX,
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

  /** Starts the gateway, which hears of caches from the source that the factory makes. */
  public void serve(EndpointSource.Factory factory) throws Exception {
    gateway =
        new Gateway(
            gatewayVertx, LabSettings.options(seed, null), new GatewayExtensions(factory, null));
    EventLoopWaiter.await(gateway.start());
  }

  /** The port of the gateway for clients. */
  public int gatewayPort() {
    return gateway.port();
  }

  /** Connects clients to the gateway; they send from then on. */
  public LoadGenerator startClients(
      LoadGenerator loadGenerator, int connections, int requestsPerSecond) throws Exception {
    EventLoopWaiter.await(
        callOnLoop(() -> loadGenerator.start(gatewayPort(), connections, requestsPerSecond)));
    return loadGenerator;
  }

  /** Tells by how many nanoseconds each tick of the gateway's event loop is late, on that loop. */
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

  /** Leaves the gateway's event loop one part in so many of its core; the rest is spun away. */
  public void slowGatewayLoop(int shareDivisor) {
    gatewayVertx.getOrCreateContext().runOnContext(loop -> spin(shareDivisor, System.nanoTime()));
  }

  private void spin(int shareDivisor, long sinceNanos) {
    gatewayVertx.setTimer(
        1,
        timer -> {
          long spinNanos = (shareDivisor - 1) * (System.nanoTime() - sinceNanos);
          long endNanos = System.nanoTime() + Math.min(MAX_SPIN_NANOS, spinNanos);
          while (System.nanoTime() < endNanos) {
            Thread.onSpinWait();
          }
          spin(shareDivisor, System.nanoTime());
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
