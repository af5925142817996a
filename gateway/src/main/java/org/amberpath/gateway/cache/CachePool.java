package org.amberpath.gateway.cache;

import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;

/**
 * The connections to one cache, within its share of the descriptors, and the commands that wait for
 * one. As few commands as possible share a connection. Used on one event loop.
 */
public final class CachePool {
  /**
   * What a pool asks and notifies its owner of.
   *
   * @param clock monotonic nanoseconds
   * @param mayWrite whether commands may be written now; else they wait for {@link #retryWaiting}
   * @param protocolErrors is notified of the pool and of the reason for which a reply is invalid
   */
  public record Hooks(
      LongSupplier clock, BooleanSupplier mayWrite, BiConsumer<Object, String> protocolErrors) {}

  private final String name;
  private final SocketAddress address;
  private final PoolBounds bounds;
  private final ConnectionBudget budget;
  private final Hooks hooks;
  private final CacheConnector connector;
  private final List<CacheConnection> connections = new ArrayList<>();
  private final List<CacheCommand> waiting = new ArrayList<>();
  private boolean closed;

  /**
   * A pool without connections.
   *
   * @param name the cache's name in the log
   * @param budget bounds the connections of all pools together
   */
  public CachePool(
      String name,
      SocketAddress address,
      NetClient client,
      PoolBounds bounds,
      ConnectionBudget budget,
      Hooks hooks) {
    this.name = name;
    this.address = address;
    this.bounds = bounds;
    this.budget = budget;
    this.hooks = hooks;
    connector =
        new CacheConnector(
            toString(), () -> client.connect(address), budget, hooks.clock(), new Connects());
  }

  /** The address that its connections go to. */
  public SocketAddress address() {
    return address;
  }

  long nowNanos() {
    return hooks.clock().getAsLong();
  }

  void protocolError(String reason) {
    hooks.protocolErrors().accept(this, reason);
  }

  /**
   * Sends a command, at once where a connection is up. No connection carries two commands of one
   * request.
   */
  public void send(CacheCommand command) {
    if (closed) {
      end(command, AttemptOutcome.CONNECT_FAILED);
    } else if (command.isExpired(nowNanos())) {
      // Guards against what waited here while its client left or its window ended.
      end(command, AttemptOutcome.NOT_SENT);
    } else if (!hooks.mayWrite().getAsBoolean()) {
      // Guards against a drain or a purge that came after the decision.
      waiting.add(command);
    } else {
      sendNow(command, nowNanos());
    }
  }

  private void sendNow(CacheCommand command, long nowNanos) {
    CacheConnection connection = leastLoaded(command, nowNanos);
    if (connections.isEmpty() && connector.connecting() == 0 && !connector.isBackingOff()) {
      budget.reclaimIfFull();
    }
    if (connection != null) {
      connection.send(command, nowNanos);
    } else if (connector.connecting() == 0 && !hasCapacity()) {
      // A cache that no connection may be opened to for want of descriptors is not blamed for it.
      end(command, isWithinShare() ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED);
      return;
    } else {
      waiting.add(command);
    }
    if (!connector.isBackingOff() && hasCapacity() && needsConnection(connection != null)) {
      connector.connect();
    }
  }

  /**
   * Whether one more connection is to be opened. Guards against many commands that share the fate
   * of one connection: one is always idle, where there may be more.
   */
  private boolean needsConnection(boolean sent) {
    return sent
        ? connector.connecting() == 0
            && connections.stream().noneMatch(connection -> connection.load() == 0)
        : connector.connecting() < waiting.size();
  }

  private static void end(CacheCommand command, AttemptOutcome outcome) {
    command.ended(outcome, ResponseDetail.NONE, null);
  }

  private boolean hasCapacity() {
    return isWithinShare() && budget.hasCapacity();
  }

  private boolean isWithinShare() {
    return connections.size() + connector.connecting() < bounds.maxConnections().getAsInt();
  }

  /**
   * The usable connection with the fewest commands in flight; of idle ones the last used, so that
   * the rest may be closed when idle for long. Null where there is none.
   */
  private CacheConnection leastLoaded(CacheCommand command, long nowNanos) {
    CacheConnection best = null;
    for (CacheConnection candidate : connections) {
      if (candidate.isUsable()
          && candidate.load() < bounds.maxCommandsPerConnection()
          && candidate.idleNanos(nowNanos) < bounds.idleTimeoutNanos()
          && command.mayUse(candidate)
          && (best == null || isLessLoaded(candidate, best, nowNanos))) {
        best = candidate;
      }
    }
    return best;
  }

  private static boolean isLessLoaded(CacheConnection one, CacheConnection other, long nowNanos) {
    return one.load() < other.load()
        || (one.load() == other.load() && one.idleNanos(nowNanos) < other.idleNanos(nowNanos));
  }

  /** Takes over what the connector opens. */
  private final class Connects implements CacheConnector.Listener {
    @Override
    public void connected(NetSocket socket) {
      connections.add(
          new CacheConnection(CachePool.this, socket, bounds.maxBodyBytes(), nowNanos()));
      CachePool.this.retryWaiting();
    }

    /** Guards against one connect that fails all that wait, although other connections are up. */
    @Override
    public void connectFailed(AttemptOutcome outcome) {
      long nowNanos = nowNanos();
      fail(command -> leastLoaded(command, nowNanos) == null, outcome);
    }

    @Override
    public void retryWaiting() {
      CachePool.this.retryWaiting();
    }
  }

  /**
   * How an attempt ends whose time is over before it was sent: only a cache that was asked in vain
   * is to blame.
   */
  public AttemptOutcome unsentOutcome() {
    return connector.unsentOutcome(bounds.connectTimeoutNanos());
  }

  /** Tries again to send what waits. */
  public void retryWaiting() {
    List<CacheCommand> ready = new ArrayList<>(waiting);
    waiting.clear();
    ready.forEach(this::send);
  }

  /** Ends those that wait for a connection and so have not begun to be sent. */
  public void fail(Predicate<CacheCommand> which, AttemptOutcome outcome) {
    if (waiting.isEmpty()) {
      return;
    }
    List<CacheCommand> failed = waiting.stream().filter(which).toList();
    waiting.removeAll(failed);
    failed.forEach(command -> end(command, outcome));
  }

  /** Cancels a command; it is notified of nothing more. */
  public void cancel(CacheCommand command) {
    abandon(command, false);
  }

  /** The same for a command whose reply was waited for in vain. */
  public void timeOut(CacheCommand command) {
    abandon(command, true);
  }

  private void abandon(CacheCommand command, boolean timedOut) {
    if (!waiting.remove(command) && command.connection != null) {
      command.connection.cancel(command, timedOut, bounds.connectTimeoutNanos());
    }
  }

  /**
   * Closes connections that nobody used for long, before the cache does, and idle ones past its
   * share.
   */
  public void sweep() {
    long nowNanos = nowNanos();
    int max = bounds.maxConnections().getAsInt();
    for (CacheConnection connection : List.copyOf(connections)) {
      if (connection.load() == 0
          && (!connection.isUsable()
              || connection.idleNanos(nowNanos) >= bounds.idleTimeoutNanos()
              || connections.size() > max)) {
        connection.close();
      }
    }
  }

  /** Whether nothing is in flight and nothing waits. */
  public boolean isIdle() {
    return waiting.isEmpty() && connections.stream().allMatch(connection -> connection.load() == 0);
  }

  /** A connection is closed. */
  void closed(CacheConnection connection) {
    if (connections.remove(connection)) {
      budget.closed();
    }
  }

  /** How long the connection has been idle that has been so longest, in nanoseconds; -1: none. */
  public long longestIdleNanos() {
    CacheConnection longest = longestIdle();
    return longest == null ? -1 : longest.idleNanos(nowNanos());
  }

  /** Closes the connection that has been idle longest, if one is idle. */
  public void closeLongestIdle() {
    CacheConnection longest = longestIdle();
    if (longest != null) {
      longest.close();
    }
  }

  private CacheConnection longestIdle() {
    long nowNanos = nowNanos();
    CacheConnection longest = null;
    for (CacheConnection candidate : connections) {
      if (candidate.load() == 0
          && (longest == null || candidate.idleNanos(nowNanos) > longest.idleNanos(nowNanos))) {
        longest = candidate;
      }
    }
    return longest;
  }

  /** Closes its connections; what waits for one ends as not connected. */
  public void close() {
    closed = true;
    connector.close();
    fail(command -> true, AttemptOutcome.CONNECT_FAILED);
    List.copyOf(connections).forEach(CacheConnection::close);
  }

  @Override
  public String toString() {
    return name + " at " + address;
  }
}
