package org.amberpath.gateway.cache;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.logging.Logger;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ConnectPatience;
import org.amberpath.routing.LocalBackoff;
import org.amberpath.routing.ResponseDetail;

/**
 * The connections to one cache, within its part of the descriptors; as few wants as may be share
 * one.
 */
public final class CachePool {
  /**
   * What bounds a pool: connections, wants on one, times to connect and to leave an idle one, the
   * longest body.
   */
  public record Bounds(IntSupplier connections, int wants, long connect, long idle, int longest) {}

  private static final Logger LOG = Logger.getLogger(CachePool.class.getName());

  static {
    ConnectFailure.of(
        null); // Guards against a class that can't be loaded when there is no descriptor to read
    // it.
  }

  private final String name;
  private final SocketAddress address;
  private final NetClient client;
  private final Bounds bounds;
  private final ConnectionBudget budget;
  private final LongSupplier clock;
  private final BooleanSupplier mayWrite;
  private final BiConsumer<Object, String> complaints;
  private final List<CacheConnection> connections = new ArrayList<>();
  private final List<CacheCommand> waiting = new ArrayList<>();
  private final LocalBackoff backoff = new LocalBackoff();
  private int connecting;

  /** When the oldest connect was begun, at the latest, of those that are under way. */
  private long connectingSinceNanos;

  private boolean backingOff;
  private boolean closed;

  /**
   * Complaints are told of answers that can't be used; wants wait for {@link #again} while none may
   * be written.
   */
  public CachePool(
      String name,
      SocketAddress address,
      NetClient client,
      Bounds bounds,
      ConnectionBudget budget,
      LongSupplier clock,
      BooleanSupplier mayWrite,
      BiConsumer<Object, String> complaints) {
    this.name = name;
    this.address = address;
    this.client = client;
    this.bounds = bounds;
    this.budget = budget;
    this.clock = clock;
    this.mayWrite = mayWrite;
    this.complaints = complaints;
  }

  public SocketAddress address() {
    return address;
  }

  long now() {
    return clock.getAsLong();
  }

  void complain(String why) {
    complaints.accept(this, why);
  }

  /** Sends a want, at once where a connection is up. None carries two wants of one request. */
  public void send(CacheCommand want) {
    if (closed) {
      want.ended(AttemptOutcome.CONNECT_FAILED, ResponseDetail.NONE, null);
      return;
    }
    if (want.isExpired(
        now())) { // Guards against what waited here while its client left or its window ended.
      want.ended(AttemptOutcome.NOT_SENT, ResponseDetail.NONE, null);
      return;
    }
    if (!mayWrite
        .getAsBoolean()) { // Guards against a drain or a purge that came after the decision.
      waiting.add(want);
      return;
    }
    long now = now();
    CacheConnection best = best(want, now);
    if (connections.isEmpty() && connecting == 0 && !backingOff) {
      budget.makeRoom();
    }
    if (best != null) {
      best.send(want, now);
    } else if (connecting == 0 && !hasPlace()) {
      // A cache that could not be asked for want of room has nothing held against it.
      want.ended(
          hasPart() ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED,
          ResponseDetail.NONE,
          null);
      return;
    } else {
      waiting.add(want);
    }
    // Guards against many wants that share the fate of one connection: one is always free, where
    // there may be more.
    if (mayConnect()
        && (best == null
            ? connecting < waiting.size()
            : connecting == 0 && connections.stream().noneMatch(one -> one.load() == 0))) {
      connect();
    }
  }

  private boolean mayConnect() {
    return !backingOff && hasPlace();
  }

  private boolean hasPlace() {
    return hasPart() && budget.hasRoom();
  }

  private boolean hasPart() {
    return connections.size() + connecting < bounds.connections.getAsInt();
  }

  /**
   * The one with the least on it; of free ones the last used, so that the rest may be left when
   * idle for long.
   */
  private CacheConnection best(CacheCommand want, long now) {
    CacheConnection best = null;
    for (CacheConnection one : connections) {
      if (one.isUsable()
          && one.load() < bounds.wants
          && one.idleNanos(now) < bounds.idle
          && want.mayUse(one)
          && (best == null
              || one.load() < best.load()
              || (one.load() == best.load() && one.idleNanos(now) < best.idleNanos(now)))) {
        best = one;
      }
    }
    return best;
  }

  private void connect() {
    connectingSinceNanos = connecting == 0 ? now() : connectingSinceNanos;
    connecting++;
    budget.opened();
    opened()
        .onComplete(
            result -> {
              connecting--;
              if (closed || result.failed()) {
                budget.closed();
              }
              ConnectFailure failure =
                  result.succeeded() ? null : ConnectFailure.of(result.cause());
              if (failure != null && failure.isLocal()) {
                failedHere(failure, result.cause());
                return;
              }
              backoff.attemptSucceeded();
              if (failure == null) {
                connected(result.result());
              } else {
                refused();
              }
            });
  }

  /** Guards the count of those that come up against a call that throws. */
  private Future<NetSocket> opened() {
    try {
      return client.connect(address);
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
  }

  /**
   * Nothing was asked of the cache, so nothing is held against it: what waits is tried again after
   * a pause, and goes elsewhere once that has failed for long.
   */
  private void failedHere(ConnectFailure failure, Throwable cause) {
    if (!backoff.isFailing()) {
      LOG.warning(this + ": no connection, " + failure + ": " + cause.getMessage());
    }
    if (!backingOff) { // Several that fail together are one failure.
      backingOff = true;
      Vertx.currentContext()
          .owner()
          .setTimer(
              backoff.attemptFailed(),
              retry -> {
                backingOff = false;
                again();
              });
    }
    if (backoff.isExhausted()) {
      long now = now();
      fail(want -> best(want, now) == null, AttemptOutcome.NOT_SENT);
    }
    again();
  }

  /**
   * How a want ends whose time is over before it was sent: only a cache that was asked in vain is
   * to blame.
   */
  public AttemptOutcome unsentOutcome() {
    boolean blamed =
        !backoff.isFailing()
            && connecting > 0
            && ConnectPatience.isEvidence(now() - connectingSinceNanos, bounds.connect);
    return blamed ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.WITHDRAWN;
  }

  private void connected(NetSocket socket) {
    if (closed) {
      socket.close();
      return;
    }
    connections.add(new CacheConnection(this, socket, bounds.longest, now()));
    again();
  }

  /** Guards against one connect that fails all that wait, although other connections are up. */
  private void refused() {
    long now = now();
    fail(want -> best(want, now) == null, AttemptOutcome.CONNECT_FAILED);
    again();
  }

  /** Takes up again what waits. */
  public void again() {
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
    failed.forEach(want -> want.ended(outcome, ResponseDetail.NONE, null));
  }

  /** Gives a want up, late where its answer was waited for in vain; it is told nothing more. */
  public void giveUp(CacheCommand want, boolean late) {
    if (!waiting.remove(want) && want.connection != null) {
      want.connection.cancel(want, late, bounds.connect);
    }
  }

  /**
   * Leaves connections that nobody used for long, before the cache does, and free ones past its
   * part.
   */
  public void sweep() {
    long now = now();
    int most = bounds.connections.getAsInt();
    for (CacheConnection one : List.copyOf(connections)) {
      if (one.load() == 0
          && (!one.isUsable() || one.idleNanos(now) >= bounds.idle || connections.size() > most)) {
        one.close();
      }
    }
  }

  /** Whether nothing is open on it or waits. */
  public boolean isFree() {
    return waiting.isEmpty() && connections.stream().allMatch(one -> one.load() == 0);
  }

  void closed(CacheConnection one) {
    if (connections.remove(one)) {
      budget.closed();
    }
  }

  /** How long the connection has been free that has been so longest, in nanoseconds; -1: none. */
  public long longestFreeNanos() {
    CacheConnection longest = longestFree();
    return longest == null ? -1 : longest.idleNanos(now());
  }

  /** Closes the connection that has been free longest, if one is free. */
  public void closeLongestFree() {
    CacheConnection longest = longestFree();
    if (longest != null) {
      longest.close();
    }
  }

  private CacheConnection longestFree() {
    long now = now();
    CacheConnection longest = null;
    for (CacheConnection one : connections) {
      if (one.load() == 0 && (longest == null || one.idleNanos(now) > longest.idleNanos(now))) {
        longest = one;
      }
    }
    return longest;
  }

  public void close() {
    closed = true;
    fail(want -> true, AttemptOutcome.CONNECT_FAILED);
    List.copyOf(connections).forEach(CacheConnection::close);
  }

  @Override
  public String toString() {
    return name + " at " + address;
  }
}
