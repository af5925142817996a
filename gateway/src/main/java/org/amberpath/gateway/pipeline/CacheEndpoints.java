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
import org.amberpath.gateway.transport.ReceiveBufferAccounting;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;
import org.amberpath.routing.RoutingEventHandler;

/**
 * The caches that discovery has listed, by the small indices that the router uses for them, and
 * their connections. Passes endpoint lists and purges on to the router, and withdraws the attempts
 * that still wait for a connection if a drain or a purge affects them.
 */
final class CacheEndpoints implements EndpointListener {
  /**
   * A corrected start time is reported to the router only if it is later than the present one by
   * more than this, since each reported start begins a slow start.
   */
  private static final long MIN_START_CORRECTION_NANOS = 1_000_000_000L;

  private final CacheConnectionConfig config;
  private final Clock clock;
  private final NetClient client;
  private final ProtocolErrorLog protocolErrors;
  private final ConnectionBudget budget;

  /**
   * The listed endpoints, and those that discovery has removed while commands are in flight on
   * their connections.
   */
  private final Map<String, CacheEndpoint> byId = new HashMap<>();

  /** The endpoints by their indices; null at an index that is free. */
  private final List<CacheEndpoint> endpoints = new ArrayList<>();

  private final ArrayDeque<Integer> freeIndices = new ArrayDeque<>();

  /** The router's events for the endpoint list that is being received. */
  private final List<Consumer<RoutingEventHandler>> pendingListEvents = new ArrayList<>();

  private RoutingStage routingStage;
  private int maxConnectionsPerCache;
  private boolean hasEndpointList;

  /** Bounds the bytes of partially received replies of all caches. */
  private final ReceiveBufferAccounting partialReplies;

  CacheEndpoints(
      Vertx vertx, CacheConnectionConfig config, Clock clock, ProtocolErrorLog protocolErrors) {
    this.config = config;
    this.clock = clock;
    this.protocolErrors = protocolErrors;
    budget = new ConnectionBudget(config.maxConnections(), this::closeLongestIdle);
    partialReplies = new ReceiveBufferAccounting(config.maxPartialReplyBytes());
    client =
        vertx.createNetClient(
            new NetClientOptions()
                .setConnectTimeout((int) Math.max(1, config.connectTimeoutNanos() / 1_000_000)));
  }

  /**
   * Sets the stage that discovery events are reported to; called once, before the first endpoint
   * list.
   */
  void setRoutingStage(RoutingStage stage) {
    routingStage = stage;
  }

  /** Returns the id of the endpoint at an index. */
  String endpointId(int index) {
    return endpoints.get(index).id;
  }

  /** Returns the index of the endpoint with this id; -1 if there is none or it is not up. */
  int indexOf(String id) {
    CacheEndpoint endpoint = byId.get(id);
    return endpoint == null || !endpoint.isUp() ? -1 : endpoint.index;
  }

  /** Returns the connection pool of the endpoint at an index, which is created if necessary. */
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
            config.maxBodyBytes(),
            partialReplies);
    CachePool.Hooks hooks =
        new CachePool.Hooks(clock::nowNanos, routingStage::mayWrite, protocolErrors::add);
    return new CachePool(endpoint.id, endpoint.address, client, bounds, budget, hooks);
  }

  /** Closes the connection that has been idle longest among those to all caches, if any is idle. */
  private void closeLongestIdle() {
    long longestIdleNanos = -1;
    CachePool longestIdlePool = null;
    for (CacheEndpoint endpoint : byId.values()) {
      long idleNanos = endpoint.pool == null ? -1 : endpoint.pool.longestIdleNanos();
      if (idleNanos > longestIdleNanos) {
        longestIdleNanos = idleNanos;
        longestIdlePool = endpoint.pool;
      }
    }
    if (longestIdlePool != null) {
      longestIdlePool.closeLongestIdle();
    }
  }

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    pendingListEvents.clear();
    pendingListEvents.add(events -> events.endpointListStarted(kind));
    if (kind == EndpointListKind.FULL) {
      byId.values().forEach(endpoint -> endpoint.state = EndpointState.GONE);
    }
  }

  @Override
  public void endpointListed(ListedEndpoint listed) {
    if (listed.state() == EndpointState.GONE && !byId.containsKey(listed.id())) {
      return;
    }
    CacheEndpoint endpoint = byId.computeIfAbsent(listed.id(), this::addEndpoint);
    endpoint.state = listed.state();
    if (!listed.address().isEmpty()) {
      endpoint.changeAddress(NumericAddress.parse("journal: hostPort is", listed.address()));
    }
    endpoint.update(listed, clock);
    EndpointDescription description = endpoint.description();
    pendingListEvents.add(events -> events.endpointListed(description));
  }

  private CacheEndpoint addEndpoint(String id) {
    int index = freeIndices.isEmpty() ? endpoints.size() : freeIndices.pop();
    CacheEndpoint added = new CacheEndpoint(id, index);
    if (index == endpoints.size()) {
      endpoints.add(added);
    } else {
      endpoints.set(index, added);
    }
    return added;
  }

  /** Returns whether an endpoint list was received; before that no request can be routed. */
  boolean hasEndpointList() {
    return hasEndpointList;
  }

  @Override
  public void endpointListCompleted() {
    hasEndpointList = true;
    enqueueList(List.copyOf(pendingListEvents));
    // Withdraws attempts that still wait for a connection, where their endpoint or source is no
    // longer up. Guards against a command that is sent after the drain's grace.
    int listedCount = 0;
    for (CacheEndpoint endpoint : byId.values()) {
      endpoint.listCompleted();
      listedCount += endpoint.isGone() ? 0 : 1;
      if (endpoint.pool != null) {
        endpoint.pool.failWaiting(
            command -> !endpoint.isUp() || !isSourceUp((OutboundAttempt) command),
            AttemptOutcome.WITHDRAWN);
      }
    }
    maxConnectionsPerCache = config.maxConnectionsPerCache(listedCount);
  }

  private void enqueueList(List<Consumer<RoutingEventHandler>> listEvents) {
    routingStage.enqueueDiscovery(
        events -> {
          listEvents.forEach(event -> event.accept(events));
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
      reportCorrectedStarts();
    }
    routingStage.enqueueDiscovery(
        events -> events.objectPurged(objectId, group, clock.nowNanos() - purgedAtNanos));
    // Withdraws attempts for purged objects that still wait for a connection. Guards against a
    // response from before the purge, since their maximum age of a copy was set before it.
    pools()
        .forEach(
            pool ->
                pool.failWaiting(
                    command -> ((OutboundAttempt) command).isPurged(objectId, group),
                    AttemptOutcome.WITHDRAWN));
  }

  /**
   * Reports the endpoints whose start times were corrected to the router. Guards against a skipped
   * slow start: a wall clock that was ahead when this gateway started makes recent starts of
   * endpoints look old.
   */
  private void reportCorrectedStarts() {
    List<Consumer<RoutingEventHandler>> listEvents = new ArrayList<>();
    listEvents.add(events -> events.endpointListStarted(EndpointListKind.CHANGES));
    for (CacheEndpoint endpoint : byId.values()) {
      if (endpoint.correctStart(clock, MIN_START_CORRECTION_NANOS)) {
        EndpointDescription description = endpoint.description();
        listEvents.add(events -> events.endpointListed(description));
      }
    }
    enqueueList(listEvents);
  }

  /** Retries sending the attempts that wait for a connection. */
  void retryWaiting() {
    pools().forEach(CachePool::retryWaiting);
  }

  private List<CachePool> pools() {
    return byId.values().stream().map(endpoint -> endpoint.pool).filter(Objects::nonNull).toList();
  }

  /**
   * Closes idle connections, and drops removed endpoints once no command is in flight to them. Also
   * compares the clocks, to detect steps of the wall clock.
   */
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

  /**
   * Returns the number of endpoints held: those listed, and removed ones with commands in flight.
   */
  int size() {
    return byId.size();
  }

  /** Closes all connections to caches. */
  void close() {
    client.close();
    pools().forEach(CachePool::close);
  }
}
