package org.amberpath.gateway.pipeline;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.amberpath.gateway.cache.CachePool;
import org.amberpath.gateway.cache.ConnectionBudget;
import org.amberpath.gateway.cache.PoolBounds;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.gateway.settings.NumericAddress;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;
import org.amberpath.routing.RoutingEventHandler;

/**
 * The caches that discovery has listed, by the small indices under which the router knows them, and
 * their connections. Lists, drains and purges go on to the router; what waits for a connection is
 * withdrawn where they affect it.
 */
final class CacheEndpoints implements EndpointListener {
  /**
   * By how much a start has to be later than was listed to be listed anew: each listed start begins
   * a slow start.
   */
  private static final long MIN_CORRECTION_NANOS = 1_000_000_000L;

  private final CacheConnectionConfig config;
  private final Clock clock;
  private final NetClient client;
  private final ProtocolErrorLog protocolErrors;
  private final ConnectionBudget budget;

  /** Those that are there, and those gone on whose connections something is still open. */
  private final Map<String, CacheEndpoint> byId = new HashMap<>();

  private final List<CacheEndpoint> endpoints = new ArrayList<>();
  private final ArrayDeque<Integer> freeIndices = new ArrayDeque<>();
  private final List<Consumer<RoutingEventHandler>> pendingList = new ArrayList<>();
  private RoutingStage routingStage;
  private int maxConnectionsPerCache;
  private boolean hasEndpointList;

  CacheEndpoints(
      Vertx vertx, CacheConnectionConfig config, Clock clock, ProtocolErrorLog protocolErrors) {
    this.config = config;
    this.clock = clock;
    this.protocolErrors = protocolErrors;
    budget = new ConnectionBudget(config.maxConnections(), this::closeLongestIdle);
    client =
        vertx.createNetClient(
            new NetClientOptions()
                .setConnectTimeout((int) Math.max(1, config.connectTimeoutNanos() / 1_000_000)));
  }

  /** Sets the stage that is notified of discovery; called once, before anything is listed. */
  void setRoutingStage(RoutingStage stage) {
    routingStage = stage;
  }

  /** The id of the endpoint at an index. */
  String endpointId(int index) {
    return endpoints.get(index).id;
  }

  /** The index of an endpoint that is up; -1 where there is none of this id. */
  int indexOf(String id) {
    CacheEndpoint endpoint = byId.get(id);
    return endpoint == null || !endpoint.isUp() ? -1 : endpoint.index;
  }

  /** The connections to the endpoint at an index. */
  CachePool pool(int index) {
    CacheEndpoint endpoint = endpoints.get(index);
    if (endpoint.pool == null) {
      endpoint.pool = newPool(endpoint);
    }
    return endpoint.pool;
  }

  private CachePool newPool(CacheEndpoint endpoint) {
    PoolBounds bounds =
        new PoolBounds(
            () -> endpoint.isGone() ? 1 : maxConnectionsPerCache,
            config.maxCommandsPerConnection(),
            config.connectTimeoutNanos(),
            config.idleTimeoutNanos(),
            config.maxBodyBytes());
    CachePool.Hooks hooks =
        new CachePool.Hooks(clock::nowNanos, routingStage::mayWrite, protocolErrors::add);
    return new CachePool(endpoint.id, endpoint.address, client, bounds, budget, hooks);
  }

  /** Closes the connection to any cache that has been idle longest, if one is idle. */
  private void closeLongestIdle() {
    long longestNanos = -1;
    CachePool longest = null;
    for (CacheEndpoint endpoint : byId.values()) {
      long idleNanos = endpoint.pool == null ? -1 : endpoint.pool.longestIdleNanos();
      if (idleNanos > longestNanos) {
        longestNanos = idleNanos;
        longest = endpoint.pool;
      }
    }
    if (longest != null) {
      longest.closeLongestIdle();
    }
  }

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    pendingList.clear();
    pendingList.add(events -> events.endpointListStarted(kind));
    if (kind == EndpointListKind.FULL) {
      byId.values().forEach(endpoint -> endpoint.state = EndpointState.GONE);
    }
  }

  @Override
  public void endpointListed(ListedEndpoint listed) {
    if (listed.state() == EndpointState.GONE && !byId.containsKey(listed.id())) {
      return;
    }
    CacheEndpoint endpoint = byId.computeIfAbsent(listed.id(), this::add);
    endpoint.state = listed.state();
    if (!listed.address().isEmpty()) {
      endpoint.moveTo(NumericAddress.parse("journal: hostPort is", listed.address()));
    }
    endpoint.update(listed, clock);
    EndpointDescription description = endpoint.description();
    pendingList.add(events -> events.endpointListed(description));
  }

  private CacheEndpoint add(String id) {
    int index = freeIndices.isEmpty() ? endpoints.size() : freeIndices.pop();
    CacheEndpoint added = new CacheEndpoint(id, index);
    if (index == endpoints.size()) {
      endpoints.add(added);
    } else {
      endpoints.set(index, added);
    }
    return added;
  }

  /** Whether a list was received: before that nothing can be routed. */
  boolean hasEndpointList() {
    return hasEndpointList;
  }

  @Override
  public void endpointListCompleted() {
    hasEndpointList = true;
    enqueueList(List.copyOf(pendingList));
    // Guards drains: what waits for a connection has not been sent, and is not sent past the grace.
    int listedCount = 0;
    for (CacheEndpoint endpoint : byId.values()) {
      listedCount += endpoint.isGone() ? 0 : 1;
      if (endpoint.pool != null) {
        endpoint.pool.fail(
            command -> !endpoint.isUp() || !isSourceUp((OutboundAttempt) command),
            AttemptOutcome.WITHDRAWN);
      }
    }
    maxConnectionsPerCache = config.maxConnectionsPerCache(listedCount);
  }

  private void enqueueList(List<Consumer<RoutingEventHandler>> list) {
    routingStage.enqueueDiscovery(
        events -> {
          list.forEach(event -> event.accept(events));
          events.endpointListCompleted();
        });
  }

  private boolean isSourceUp(OutboundAttempt attempt) {
    CacheEndpoint source = endpoints.get(attempt.plan.source());
    return source != null && source.isUp();
  }

  @Override
  public void objectPurged(long objectId, int group, long atMillis) {
    long purgedAtNanos = clock.nowNanos() - clock.purgeAgeNanos(atMillis);
    if (clock.takeCorrection()) {
      resendCorrectedStarts();
    }
    routingStage.enqueueDiscovery(
        events -> events.objectPurged(objectId, group, clock.nowNanos() - purgedAtNanos));
    // Guards purges: what waits for a connection was given the age of a copy that would have done
    // before.
    pools()
        .forEach(
            pool ->
                pool.fail(
                    command -> ((OutboundAttempt) command).isPurged(objectId, group),
                    AttemptOutcome.WITHDRAWN));
  }

  /**
   * Guards slow starts against a wall clock that was ahead when this gateway began, and made them
   * look old.
   */
  private void resendCorrectedStarts() {
    List<Consumer<RoutingEventHandler>> list = new ArrayList<>();
    list.add(events -> events.endpointListStarted(EndpointListKind.CHANGES));
    for (CacheEndpoint endpoint : byId.values()) {
      if (endpoint.correctStart(clock, MIN_CORRECTION_NANOS)) {
        EndpointDescription description = endpoint.description();
        list.add(events -> events.endpointListed(description));
      }
    }
    enqueueList(list);
  }

  /** Tries again to send what waits. */
  void retryWaiting() {
    pools().forEach(CachePool::retryWaiting);
  }

  private List<CachePool> pools() {
    return byId.values().stream().map(endpoint -> endpoint.pool).filter(Objects::nonNull).toList();
  }

  /** Closes idle connections, and forgets caches that are gone once nothing is in flight there. */
  void sweep() {
    clock.readClocks();
    for (CacheEndpoint endpoint : List.copyOf(byId.values())) {
      if (endpoint.pool != null && endpoint.isGone() && endpoint.pool.isIdle()) {
        endpoint.closePool();
      } else if (endpoint.pool != null) {
        endpoint.pool.sweep();
      }
      if (endpoint.pool == null && endpoint.isGone()) {
        byId.remove(endpoint.id);
        endpoints.set(endpoint.index, null);
        freeIndices.add(endpoint.index);
      }
    }
  }

  /** How many endpoints are known, with those that are gone and have something in flight. */
  int size() {
    return byId.size();
  }

  /** Closes all connections. */
  void close() {
    client.close();
    pools().forEach(CachePool::close);
  }
}
