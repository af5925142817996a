package org.amberpath.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.amberpath.gateway.cache.CachePool;
import org.amberpath.gateway.cache.ConnectionBudget;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;
import org.amberpath.routing.RoutingEventHandler;

/**
 * The caches that the journal told of, by the small indices under which the decisions know them.
 */
final class CacheEndpoints implements EndpointListener {
  private static final class Entry {
    final String id;
    final int index;
    SocketAddress address;
    EndpointState state;
    CachePool pool;

    /**
     * The start as it was told, and by this gateway's clock: the age of one that was heard of stays
     * by that clock.
     */
    long startedAtMs, startedAt;

    /** What was told of it last, but for when it started. */
    LongFunction<Consumer<RoutingEventHandler>> telling;

    Entry(String id, int index) {
      this.id = id;
      this.index = index;
    }
  }

  /**
   * By how much a start has to be later than was told to be told anew: each word of a start begins
   * a ramp.
   */
  private static final long CORRECTED_NANOS = 1_000_000_000L;

  private final GatewayOptions options;
  private final Clock clock;
  private final NetClient client;
  private final ProtocolErrorLog complaints;
  private final ConnectionBudget budget;

  /** Those that are there, and those gone on whose connections something is still open. */
  private final Map<String, Entry> byId = new HashMap<>();

  private final List<Entry> entries = new ArrayList<>();
  private final ArrayDeque<Integer> unused = new ArrayDeque<>();
  private final List<Consumer<RoutingEventHandler>> list = new ArrayList<>();
  private RoutingStage route;
  private int most;
  private boolean told;

  CacheEndpoints(Vertx vertx, GatewayOptions options, Clock clock, ProtocolErrorLog complaints) {
    this.options = options;
    this.clock = clock;
    this.complaints = complaints;
    budget = new ConnectionBudget(options.connectionsToAll(), this::closeLongestFree);
    client =
        vertx.createNetClient(
            new NetClientOptions()
                .setConnectTimeout((int) Math.max(1, options.connectTimeout() / 1_000_000)));
  }

  void newsTo(RoutingStage to) {
    route = to;
  }

  String id(int cache) {
    return entries.get(cache).id;
  }

  /** The index of one that may be asked; -1 where there is none. */
  int index(String id) {
    Entry entry = byId.get(id);
    return entry == null || entry.state != EndpointState.UP ? -1 : entry.index;
  }

  CachePool pool(int cache) {
    Entry entry = entries.get(cache);
    if (entry.pool == null) {
      CachePool.Bounds bounds =
          new CachePool.Bounds(
              () -> entry.state == EndpointState.GONE ? 1 : most,
              options.wantsOnConnection(),
              options.connectTimeout(),
              options.connectionIdle(),
              options.longestAnswer());
      entry.pool =
          new CachePool(
              entry.id,
              entry.address,
              client,
              bounds,
              budget,
              clock::nowNanos,
              route::mayWrite,
              complaints::add);
    }
    return entry.pool;
  }

  /** Closes the connection to any cache that has been free longest, if one is free. */
  private void closeLongestFree() {
    long longestNanos = -1;
    CachePool longest = null;
    for (Entry entry : byId.values()) {
      long freeNanos = entry.pool == null ? -1 : entry.pool.longestFreeNanos();
      if (freeNanos > longestNanos) {
        longestNanos = freeNanos;
        longest = entry.pool;
      }
    }
    if (longest != null) {
      longest.closeLongestFree();
    }
  }

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    list.clear();
    list.add(to -> to.endpointListStarted(kind));
    if (kind == EndpointListKind.FULL) {
      byId.values().forEach(entry -> entry.state = EndpointState.GONE);
    }
  }

  @Override
  public void endpointListed(ListedEndpoint endpoint) {
    if (endpoint.state() == EndpointState.GONE && !byId.containsKey(endpoint.id())) {
      return;
    }
    Entry entry =
        byId.computeIfAbsent(
            endpoint.id(),
            fresh -> {
              Entry made = new Entry(fresh, unused.isEmpty() ? entries.size() : unused.pop());
              if (made.index == entries.size()) {
                entries.add(made);
              }
              entries.set(made.index, made);
              return made;
            });
    entry.state = endpoint.state();
    if (!endpoint.address().isEmpty()) {
      SocketAddress now = GatewayOptions.address("journal: hostPort is", endpoint.address());
      if (entry.pool != null && !now.equals(entry.address)) {
        entry.pool.close();
        entry.pool = null;
      }
      entry.address = now;
    }
    if (endpoint.startedAtMillis() != entry.startedAtMs) {
      entry.startedAtMs = endpoint.startedAtMillis();
      entry.startedAt =
          endpoint.startedAtMillis() == 0
              ? 0
              : clock.nowNanos() - clock.sinceStart(endpoint.startedAtMillis());
    }
    entry.telling =
        startedAt ->
            to ->
                to.endpointListed(
                    new EndpointDescription(
                        entry.index,
                        endpoint.id(),
                        endpoint.zone(),
                        endpoint.kind(),
                        endpoint.cell(),
                        endpoint.state(),
                        endpoint.weight(),
                        startedAt));
    list.add(entry.telling.apply(entry.startedAt));
  }

  /** Whether a list has come: before that nothing can be decided. */
  boolean told() {
    return told;
  }

  @Override
  public void endpointListCompleted() {
    told = true;
    List<Consumer<RoutingEventHandler>> news = List.copyOf(list);
    route.enqueueDiscovery(
        to -> {
          news.forEach(one -> one.accept(to));
          to.endpointListCompleted();
        });
    // Guards drains: what waits for a connection has not been sent, and is not sent past the grace.
    int listed = 0;
    for (Entry entry : byId.values()) {
      listed += entry.state == EndpointState.GONE ? 0 : 1;
      if (entry.pool != null) {
        entry.pool.fail(
            want -> entry.state != EndpointState.UP || !up((OutboundAttempt) want),
            AttemptOutcome.WITHDRAWN);
      }
    }
    most = options.connectionsToEach(listed);
  }

  private boolean up(OutboundAttempt sent) {
    Entry source = entries.get(sent.plan.source());
    return source != null && source.state == EndpointState.UP;
  }

  @Override
  public void objectPurged(long object, int group, long atMs) {
    long purgedAt = clock.nowNanos() - clock.sincePurge(atMs);
    if (clock.corrected()) {
      tellStarts();
    }
    route.enqueueDiscovery(to -> to.objectPurged(object, group, clock.nowNanos() - purgedAt));
    // Guards purges: what waits for a connection was given the age of a copy that would have done
    // before.
    pools()
        .forEach(
            pool ->
                pool.fail(
                    want -> ((OutboundAttempt) want).isPurged(object, group),
                    AttemptOutcome.WITHDRAWN));
  }

  /**
   * Guards slow starts against a wall clock that was ahead when this gateway began, and made them
   * look old.
   */
  private void tellStarts() {
    List<Consumer<RoutingEventHandler>> later = new ArrayList<>();
    for (Entry entry : byId.values()) {
      long startedAt =
          entry.startedAtMs == 0 ? 0 : clock.nowNanos() - clock.sinceStart(entry.startedAtMs);
      if (startedAt > entry.startedAt + CORRECTED_NANOS) {
        entry.startedAt = startedAt;
        later.add(entry.telling.apply(startedAt));
      }
    }
    route.enqueueDiscovery(
        to -> {
          to.endpointListStarted(EndpointListKind.CHANGES);
          later.forEach(one -> one.accept(to));
          to.endpointListCompleted();
        });
  }

  /** Sends what pools held back. */
  void again() {
    pools().forEach(CachePool::again);
  }

  private List<CachePool> pools() {
    return byId.values().stream().map(entry -> entry.pool).filter(Objects::nonNull).toList();
  }

  /**
   * Leaves idle connections, and lets go of caches that are gone once nothing of theirs is open.
   */
  void sweep() {
    clock.watch();
    for (Entry entry : List.copyOf(byId.values())) {
      boolean gone = entry.state == EndpointState.GONE;
      if (entry.pool != null && gone && entry.pool.isFree()) {
        entry.pool.close();
        entry.pool = null;
      } else if (entry.pool != null) {
        entry.pool.sweep();
      }
      if (entry.pool == null && gone) {
        byId.remove(entry.id);
        entries.set(entry.index, null);
        unused.add(entry.index);
      }
    }
  }

  int size() {
    return byId.size();
  }

  void close() {
    client.close();
    pools().forEach(CachePool::close);
  }
}
