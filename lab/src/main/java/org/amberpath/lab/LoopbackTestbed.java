package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * A gateway on loopback among stand-ins: a registry of several endpoints, edge caches, hubs and the
 * origin, clients. The gateway has an event loop of its own, the stand-ins share another.
 */
@SuppressWarnings("try") // Closing waits; an interrupt ends the experiment.
public final class LoopbackTestbed implements AutoCloseable {
  public static final String PREFIX = "amberpath/lab/";
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long MAX_SPIN_NANOS = NANOS_PER_SECOND / 10;
  private static final int MAX_KEYS = 20_000;
  private static final int MAX_MESSAGE_BYTES = 8 << 20;

  public final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  public final StandInRegistry registry;
  public final Map<String, StandInCache> caches = new LinkedHashMap<>();
  private final Vertx gatewayVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final long seed;
  private long writes;
  public Gateway gateway;

  public LoopbackTestbed(long seed) {
    this.seed = seed;
    registry = new StandInRegistry(vertx, new HttpServerOptions());
  }

  /** Runs on the stand-ins' event loop, and waits for what comes of it. */
  public <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  public static <T> T await(Future<T> future) throws Exception {
    return EventLoopWaiter.await(future);
  }

  /**
   * Opens the registry's endpoints and so many edge caches, a hub and the origin, all in the
   * registry.
   */
  public void open(int endpointCount, int edgeCount) throws Exception {
    List<Future<?>> all =
        callOnLoop(
            () -> {
              List<Future<?>> opening = new ArrayList<>();
              for (int index = 0; index < endpointCount; index++) {
                opening.add(registry.open(0));
              }
              for (int index = 0; index < edgeCount; index++) {
                opening.add(listenCache("e" + index, 2, 8));
              }
              opening.add(listenCache("h0", 2, 10));
              opening.add(listenCache("o0", 10, 0));
              return opening;
            });
    await(Future.all(all));
    callOnLoop(
        () -> {
          caches.keySet().forEach(id -> putCache(id, EndpointState.UP));
          return null;
        });
  }

  private Future<?> listenCache(String id, long hitMillis, long fillMillis) {
    StandInCache cache = new StandInCache(vertx, id, hitMillis, fillMillis, caches::get);
    caches.put(id, cache);
    return cache.listen();
  }

  /** Writes a cache's state into the registry, with the tip. Null deletes it. */
  public void putCache(String id, EndpointState state) {
    String kind =
        id.startsWith("e")
            ? LabSettings.EDGE
            : id.startsWith("h") ? LabSettings.HUB : LabSettings.ORIGIN;
    write(
        PREFIX + RecordCodec.CACHES_PREFIX + id,
        state == null
            ? null
            : RecordCodec.encode(
                new RegistryRecord.Cache(
                    id, caches.get(id).address(), LabSettings.ZONE, kind, 0, state, 4, 0)));
  }

  /** Writes one key and the tip in one transaction. */
  public long write(String key, byte[] value) {
    Map<String, byte[]> transaction = new TreeMap<>();
    transaction.put(key, value);
    transaction.put(
        PREFIX + RecordCodec.TIP_KEY, Long.toString(++writes).getBytes(StandardCharsets.US_ASCII));
    return registry.write(transaction);
  }

  /** How the gateway reaches the registry. */
  public RegistrySettings registrySettings(RegistrySettings.ProtocolKind protocol) {
    List<SocketAddress> endpointCount =
        registry.endpoints().stream()
            .map(index -> SocketAddress.inetSocketAddress(index.port(), "127.0.0.1"))
            .toList();
    return new RegistrySettings(
        protocol,
        endpointCount,
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
        600 * NANOS_PER_SECOND,
        MAX_KEYS,
        MAX_MESSAGE_BYTES);
  }

  /** Starts the gateway, which hears of caches from the source that the maker makes. */
  public void serve(EndpointSource.Factory factory) throws Exception {
    gateway =
        new Gateway(
            gatewayVertx, LabSettings.options(seed, null), new GatewayExtensions(factory, null));
    await(gateway.start());
  }

  /** Tells by how many nanoseconds each tick on the gateway's event loop came late. */
  public void watchGatewayLoop(long tickMs, LongConsumer listener) {
    long[] dueNanos = {System.nanoTime() + tickMs * 1_000_000};
    gatewayVertx.setPeriodic(
        tickMs,
        tick -> {
          long now = System.nanoTime();
          listener.accept(now - dueNanos[0]);
          dueNanos[0] = now + tickMs * 1_000_000;
        });
  }

  /**
   * Leaves the gateway's event loop one part in so many of its core: the rest of the time is spent
   * on nothing.
   */
  public void slowGatewayLoop(int shareDivisor) {
    gatewayVertx.getOrCreateContext().runOnContext(loop -> spin(shareDivisor, System.nanoTime()));
  }

  private void spin(int shareDivisor, long sinceNanos) {
    gatewayVertx.setTimer(
        1,
        dueNanos -> {
          long endNanos =
              System.nanoTime()
                  + Math.min(MAX_SPIN_NANOS, (shareDivisor - 1) * (System.nanoTime() - sinceNanos));
          while (System.nanoTime() < endNanos) {
            Thread.onSpinWait();
          }
          spin(shareDivisor, System.nanoTime());
        });
  }

  @Override
  public void close() throws Exception {
    if (gateway != null) {
      await(gateway.stop());
    }
    await(gatewayVertx.close());
    await(vertx.close());
  }
}
