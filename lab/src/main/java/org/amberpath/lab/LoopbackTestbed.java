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
  private static final long SECOND = 1_000_000_000, LONGEST_SPENT = SECOND / 10;
  private static final int MOST_KEYS = 20_000, LONGEST = 8 << 20;

  public final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  public final StandInRegistry registry;
  public final Map<String, StandInCache> caches = new LinkedHashMap<>();
  private final Vertx own = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final long seed;
  private long writes;
  public Gateway gateway;

  public LoopbackTestbed(long seed) {
    this.seed = seed;
    registry = new StandInRegistry(vertx, new HttpServerOptions());
  }

  /** Runs on the stand-ins' event loop, and waits for what comes of it. */
  public <T> T on(Callable<T> what) throws Exception {
    return EventLoopWaiter.on(vertx, what);
  }

  public static <T> T await(Future<T> future) throws Exception {
    return EventLoopWaiter.await(future);
  }

  /**
   * Opens the registry's endpoints and so many edge caches, a hub and the origin, all in the
   * registry.
   */
  public void open(int endpoints, int edges) throws Exception {
    List<Future<?>> all =
        on(
            () -> {
              List<Future<?>> opening = new ArrayList<>();
              for (int one = 0; one < endpoints; one++) {
                opening.add(registry.open(0));
              }
              for (int one = 0; one < edges; one++) {
                opening.add(cache("e" + one, 2, 8));
              }
              opening.add(cache("h0", 2, 10));
              opening.add(cache("o0", 10, 0));
              return opening;
            });
    await(Future.all(all));
    on(
        () -> {
          caches.keySet().forEach(id -> put(id, EndpointState.UP));
          return null;
        });
  }

  private Future<?> cache(String id, long answerMs, long fillMs) {
    StandInCache cache = new StandInCache(vertx, id, answerMs, fillMs, caches::get);
    caches.put(id, cache);
    return cache.listen();
  }

  /** Writes a cache's state into the registry, with the tip. Null deletes it. */
  public void put(String id, EndpointState state) {
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
    Map<String, byte[]> both = new TreeMap<>();
    both.put(key, value);
    both.put(
        PREFIX + RecordCodec.TIP_KEY, Long.toString(++writes).getBytes(StandardCharsets.US_ASCII));
    return registry.write(both);
  }

  /** How the gateway reaches the registry. */
  public RegistrySettings access(RegistrySettings.ProtocolKind form) {
    List<SocketAddress> endpoints =
        registry.endpoints().stream()
            .map(one -> SocketAddress.inetSocketAddress(one.port(), "127.0.0.1"))
            .toList();
    return new RegistrySettings(
        form,
        endpoints,
        PREFIX,
        null,
        null,
        null,
        null,
        null,
        null,
        null,
        SECOND,
        SECOND,
        600 * SECOND,
        MOST_KEYS,
        LONGEST);
  }

  /** Starts the gateway, which hears of caches from the source that the maker makes. */
  public void serve(EndpointSource.Factory source) throws Exception {
    gateway =
        new Gateway(own, LabSettings.options(seed, null), new GatewayExtensions(source, null));
    await(gateway.start());
  }

  /** Tells by how many nanoseconds each tick on the gateway's event loop came late. */
  public void watchGateway(long tickMs, LongConsumer late) {
    long[] due = {System.nanoTime() + tickMs * 1_000_000};
    own.setPeriodic(
        tickMs,
        tick -> {
          long now = System.nanoTime();
          late.accept(now - due[0]);
          due[0] = now + tickMs * 1_000_000;
        });
  }

  /**
   * Leaves the gateway's event loop one part in so many of its core: the rest of the time is spent
   * on nothing.
   */
  public void slowGateway(int parts) {
    own.getOrCreateContext().runOnContext(loop -> spend(parts, System.nanoTime()));
  }

  private void spend(int parts, long since) {
    own.setTimer(
        1,
        due -> {
          long end =
              System.nanoTime()
                  + Math.min(LONGEST_SPENT, (parts - 1) * (System.nanoTime() - since));
          while (System.nanoTime() < end) {
            Thread.onSpinWait();
          }
          spend(parts, System.nanoTime());
        });
  }

  @Override
  public void close() throws Exception {
    if (gateway != null) {
      await(gateway.stop());
    }
    await(own.close());
    await(vertx.close());
  }
}
