package org.amberpath.gateway.cache;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Logger;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ConnectPatience;
import org.amberpath.routing.LocalBackoff;

/**
 * Opens the connections of one pool, within the budget of all pools. A connect that fails on this
 * host is tried again after a backoff, since it says nothing of the cache. Used on the event loop
 * of the pool.
 */
final class CacheConnector {
  private static final Logger LOG = Logger.getLogger(CacheConnector.class.getName());

  static {
    // Guards against a class that can't be loaded once there is no descriptor to read it.
    ConnectFailure.of(null);
  }

  /** Is notified of what comes of the connects. */
  interface Listener {
    /** A connection is up. */
    void connected(NetSocket socket);

    /**
     * No connection came up, and none is tried soon.
     *
     * @param outcome how attempts end that no other connection can take
     */
    void connectFailed(AttemptOutcome outcome);

    /** Whatever waits for a connection may be tried again. */
    void retryWaiting();
  }

  private final String target;
  private final Supplier<Future<NetSocket>> connector;
  private final ConnectionBudget budget;
  private final LongSupplier clock;
  private final Listener listener;
  private final LocalBackoff backoff = new LocalBackoff();
  private int connecting;

  /** When the oldest connect was begun, at the latest, of those that are under way. */
  private long connectingSinceNanos;

  private boolean backingOff;
  private boolean closed;

  /**
   * A connector that has opened nothing yet.
   *
   * @param target the cache's name and address, for the log
   * @param connector begins one connect; it may throw
   */
  CacheConnector(
      String target,
      Supplier<Future<NetSocket>> connector,
      ConnectionBudget budget,
      LongSupplier clock,
      Listener listener) {
    this.target = target;
    this.connector = connector;
    this.budget = budget;
    this.clock = clock;
    this.listener = listener;
  }

  /** How many connects are under way. */
  int connecting() {
    return connecting;
  }

  /** Whether a failure on this host is waited out. */
  boolean isBackingOff() {
    return backingOff;
  }

  /** Begins one more connect. */
  void connect() {
    connectingSinceNanos = connecting == 0 ? clock.getAsLong() : connectingSinceNanos;
    connecting++;
    budget.opened();
    begin().onComplete(this::ended);
  }

  /** Guards the count of those under way against a call that throws. */
  private Future<NetSocket> begin() {
    try {
      return connector.get();
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
  }

  private void ended(AsyncResult<NetSocket> result) {
    connecting--;
    if (closed || result.failed()) {
      budget.closed();
    }
    ConnectFailure failure = result.succeeded() ? null : ConnectFailure.of(result.cause());
    if (failure != null && failure.isLocal()) {
      failedLocally(failure, result.cause());
      return;
    }
    backoff.attemptSucceeded();
    if (failure == null) {
      connected(result.result());
    } else {
      listener.connectFailed(AttemptOutcome.CONNECT_FAILED);
      listener.retryWaiting();
    }
  }

  private void connected(NetSocket socket) {
    if (closed) {
      socket.close();
    } else {
      listener.connected(socket);
    }
  }

  /**
   * Nothing was asked of the cache, so nothing is held against it: what waits is tried again after
   * a backoff, and is sent elsewhere once that has failed for long.
   */
  private void failedLocally(ConnectFailure failure, Throwable cause) {
    if (!backoff.isFailing()) {
      LOG.warning(target + ": no connection, " + failure + ": " + cause.getMessage());
    }
    if (!backingOff) { // Several that fail together are one failure.
      backingOff = true;
      Vertx.currentContext()
          .owner()
          .setTimer(
              backoff.attemptFailed(),
              retry -> {
                backingOff = false;
                listener.retryWaiting();
              });
    }
    if (backoff.isExhausted()) {
      listener.connectFailed(AttemptOutcome.NOT_SENT);
    }
    listener.retryWaiting();
  }

  /**
   * How an attempt ends whose time is over before it was sent: only a cache that was asked in vain
   * is to blame.
   */
  AttemptOutcome unsentOutcome(long connectTimeoutNanos) {
    boolean blamed =
        !backoff.isFailing()
            && connecting > 0
            && ConnectPatience.isEvidence(
                clock.getAsLong() - connectingSinceNanos, connectTimeoutNanos);
    return blamed ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.WITHDRAWN;
  }

  /** Closes what comes up from now on. */
  void close() {
    closed = true;
  }
}
