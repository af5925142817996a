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
 * A pool of connections to one cache, within the cache's share of the descriptors, and the commands
 * that wait for a connection. Commands are spread over the connections, so that as few as possible
 * share one. Confined to one event loop.
 */
public final class CachePool {
  /**
   * Callbacks from a pool to its owner.
   *
   * @param clock monotonic time in nanoseconds
   * @param mayWrite whether commands may be written now; if not, they wait until {@link
   *     #retryWaiting} is called
   * @param protocolErrors receives the pool and the reason for each protocol error of the cache
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
  private final List<CacheCommand> waitingCommands = new ArrayList<>();
  private boolean closed;

  /**
   * Creates a pool without connections.
   *
   * @param name the name of the cache in the log
   * @param budget the bound on the connections of all pools together
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
            toString(),
            () -> client.connect(address),
            budget,
            hooks.clock(),
            new ConnectListener());
  }

  /** Returns the address of the cache. */
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
   * Sends a command, immediately if a usable connection is open; otherwise the command waits for
   * one. No connection carries two commands of one request.
   */
  public void send(CacheCommand command) {
    if (closed) {
      endUnsent(command, AttemptOutcome.CONNECT_FAILED);
    } else if (command.isExpired(nowNanos())) {
      // While it waited, the client may have disconnected or the time window for sending ended.
      endUnsent(command, AttemptOutcome.NOT_SENT);
    } else if (!hooks.mayWrite().getAsBoolean()) {
      // A drain or purge that arrived after the routing decision has to be applied first.
      waitingCommands.add(command);
    } else {
      sendNow(command, nowNanos());
    }
  }

  private void sendNow(CacheCommand command, long nowNanos) {
    CacheConnection connection = leastLoaded(command, nowNanos);
    if (connections.isEmpty() && connector.pendingConnects() == 0 && !connector.isBackingOff()) {
      budget.closeIdleIfFull();
    }
    if (connection != null) {
      connection.send(command, nowNanos);
    } else if (connector.pendingConnects() == 0 && !hasCapacity()) {
      // If the budget of all pools prevents the connect, the cache is not blamed.
      endUnsent(command, isWithinShare() ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED);
      return;
    } else {
      waitingCommands.add(command);
    }
    if (!connector.isBackingOff() && hasCapacity() && needsConnection(connection != null)) {
      connector.connect();
    }
  }

  /**
   * Returns whether one more connection is to be opened. Within its bounds the pool keeps one
   * connection idle, so that commands need not share one and fail together with it.
   *
   * @param commandSent whether the current command was sent on an open connection
   */
  private boolean needsConnection(boolean commandSent) {
    return commandSent
        ? connector.pendingConnects() == 0
            && connections.stream().noneMatch(connection -> connection.inFlightCount() == 0)
        : connector.pendingConnects() < waitingCommands.size();
  }

  private static void endUnsent(CacheCommand command, AttemptOutcome outcome) {
    command.onEnded(outcome, ResponseDetail.NONE, null);
  }

  private boolean hasCapacity() {
    return isWithinShare() && budget.hasCapacity();
  }

  private boolean isWithinShare() {
    return connections.size() + connector.pendingConnects() < bounds.maxConnections().getAsInt();
  }

  /**
   * Returns the usable connection with the fewest commands in flight; null if there is none. Of
   * idle ones the most recently used is returned, so that the others reach the idle timeout.
   */
  private CacheConnection leastLoaded(CacheCommand command, long nowNanos) {
    CacheConnection best = null;
    for (CacheConnection candidate : connections) {
      if (candidate.isUsable()
          && candidate.inFlightCount() < bounds.maxCommandsPerConnection()
          && candidate.idleNanos(nowNanos) < bounds.idleTimeoutNanos()
          && command.mayUse(candidate)
          && (best == null || isLessLoaded(candidate, best, nowNanos))) {
        best = candidate;
      }
    }
    return best;
  }

  private static boolean isLessLoaded(
      CacheConnection first, CacheConnection second, long nowNanos) {
    return first.inFlightCount() < second.inFlightCount()
        || (first.inFlightCount() == second.inFlightCount()
            && first.idleNanos(nowNanos) < second.idleNanos(nowNanos));
  }

  /** Adds new connections to the pool and fails or retries the waiting commands. */
  private final class ConnectListener implements CacheConnector.Listener {
    @Override
    public void connected(NetSocket socket) {
      connections.add(new CacheConnection(CachePool.this, socket, bounds, nowNanos()));
      CachePool.this.retryWaiting();
    }

    /** Fails only the waiting commands that no open connection can carry. */
    @Override
    public void connectFailed(AttemptOutcome outcome) {
      long nowNanos = nowNanos();
      failWaiting(command -> leastLoaded(command, nowNanos) == null, outcome);
    }

    @Override
    public void retryWaiting() {
      CachePool.this.retryWaiting();
    }
  }

  /**
   * Returns the outcome of an attempt that ran out of time before it was sent: {@link
   * AttemptOutcome#CONNECT_FAILED} if the cache has left a connect unanswered for long enough, else
   * {@link AttemptOutcome#WITHDRAWN}, which does not blame the cache.
   */
  public AttemptOutcome unsentOutcome() {
    return connector.unsentOutcome(bounds.connectTimeoutNanos());
  }

  /** Tries again to send the waiting commands. */
  public void retryWaiting() {
    List<CacheCommand> retriedCommands = new ArrayList<>(waitingCommands);
    waitingCommands.clear();
    retriedCommands.forEach(this::send);
  }

  /** Ends the waiting commands that match; no byte of them has been sent. */
  public void failWaiting(Predicate<CacheCommand> filter, AttemptOutcome outcome) {
    if (waitingCommands.isEmpty()) {
      return;
    }
    List<CacheCommand> failed = waitingCommands.stream().filter(filter).toList();
    waitingCommands.removeAll(failed);
    failed.forEach(command -> endUnsent(command, outcome));
  }

  /** Cancels a command, which is not notified of an outcome. */
  public void cancel(CacheCommand command) {
    cancelOrRemove(command, false);
  }

  /** Cancels a command whose reply did not arrive in time. */
  public void timeOut(CacheCommand command) {
    cancelOrRemove(command, true);
  }

  private void cancelOrRemove(CacheCommand command, boolean timedOut) {
    if (!waitingCommands.remove(command) && command.connection != null) {
      command.connection.cancel(command, timedOut, bounds.connectTimeoutNanos());
    }
  }

  /**
   * Closes idle connections that reached the idle timeout, before the cache closes them, and idle
   * connections that are unusable or exceed the cache's share.
   */
  public void sweep() {
    long nowNanos = nowNanos();
    int max = bounds.maxConnections().getAsInt();
    for (CacheConnection connection : List.copyOf(connections)) {
      if (connection.inFlightCount() == 0
          && (!connection.isUsable()
              || connection.idleNanos(nowNanos) >= bounds.idleTimeoutNanos()
              || connections.size() > max)) {
        connection.close();
      }
    }
  }

  /**
   * Ends the use of all open connections, because the cache was replaced by another process at its
   * address. Guards against commands on a connection to the old process, which may be unreachable
   * without having reset it. Commands in flight continue; the next sweep closes their connections.
   */
  public void retireConnections() {
    List.copyOf(connections).forEach(CacheConnection::retire);
  }

  /** Returns whether no command is in flight or waiting. */
  public boolean isIdle() {
    return waitingCommands.isEmpty()
        && connections.stream().allMatch(connection -> connection.inFlightCount() == 0);
  }

  /** Removes a closed connection. */
  void connectionClosed(CacheConnection connection) {
    if (connections.remove(connection)) {
      budget.connectionClosed();
    }
  }

  /** Returns the idle time of the longest idle connection, in nanoseconds; -1 if none is idle. */
  public long longestIdleNanos() {
    CacheConnection longest = longestIdle();
    return longest == null ? -1 : longest.idleNanos(nowNanos());
  }

  /** Closes the longest idle connection, if any connection is idle. */
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
      if (candidate.inFlightCount() == 0
          && (longest == null || candidate.idleNanos(nowNanos) > longest.idleNanos(nowNanos))) {
        longest = candidate;
      }
    }
    return longest;
  }

  /**
   * Closes all connections. Waiting commands, and commands sent later, end with {@link
   * AttemptOutcome#CONNECT_FAILED}.
   */
  public void close() {
    closed = true;
    connector.close();
    failWaiting(command -> true, AttemptOutcome.CONNECT_FAILED);
    List.copyOf(connections).forEach(CacheConnection::close);
  }

  @Override
  public String toString() {
    return name + " at " + address;
  }
}
