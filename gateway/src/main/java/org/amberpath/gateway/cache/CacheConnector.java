package org.amberpath.gateway.cache;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Logger;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ConnectFailureEvidence;
import org.amberpath.routing.LocalBackoff;

/**
 * Opens the connections of one pool and counts them in the budget of all pools. A connect that
 * fails on this host is retried after a backoff and not attributed to the cache. Confined to the
 * event loop of the pool.
 */
final class CacheConnector {
  private static final Logger LOG = Logger.getLogger(CacheConnector.class.getName());

  static {
    // Loads the class now, because that fails later if the process is out of descriptors.
    ConnectFailure.of(null);
  }

  /** Receives the results of connects. */
  interface Listener {
    /** Called with each new connection. */
    void connected(NetSocket socket);

    /**
     * Called when a connect has failed and waiting commands should not wait for a retry.
     *
     * @param outcome the outcome of waiting attempts that no open connection can carry
     */
    void connectFailed(AttemptOutcome outcome);

    /** Called when commands that wait for a connection may be sent, or connects be retried. */
    void retryWaiting();
  }

  private final String target;
  private final Supplier<Future<NetSocket>> connectFunction;
  private final ConnectionBudget budget;
  private final LongSupplier clock;
  private final Listener listener;
  private final LocalBackoff backoff = new LocalBackoff();
  private int pendingConnects;

  /**
   * Start of the current period in which at least one connect has been in progress without
   * interruption; valid while {@link #pendingConnects} is not 0.
   */
  private long connectsPendingSinceNanos;

  private boolean backingOff;
  private boolean closed;

  /**
   * Creates a connector without connections.
   *
   * @param target the cache's name and address, for the log
   * @param connectFunction starts one connect; may throw
   */
  CacheConnector(
      String target,
      Supplier<Future<NetSocket>> connectFunction,
      ConnectionBudget budget,
      LongSupplier clock,
      Listener listener) {
    this.target = target;
    this.connectFunction = connectFunction;
    this.budget = budget;
    this.clock = clock;
    this.listener = listener;
  }

  /** Returns the number of connects in progress. */
  int pendingConnects() {
    return pendingConnects;
  }

  /** Returns whether a backoff after a failure on this host is running. */
  boolean isBackingOff() {
    return backingOff;
  }

  /** Starts one more connect. */
  void connect() {
    connectsPendingSinceNanos =
        pendingConnects == 0 ? clock.getAsLong() : connectsPendingSinceNanos;
    pendingConnects++;
    budget.connectionOpened();
    startConnect().onComplete(this::onConnectResult);
  }

  /**
   * Turns an exception into a failed future, so that every started connect is also counted down.
   */
  private Future<NetSocket> startConnect() {
    try {
      return connectFunction.get();
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
  }

  private void onConnectResult(AsyncResult<NetSocket> result) {
    pendingConnects--;
    if (closed || result.failed()) {
      budget.connectionClosed();
    }
    ConnectFailure failure = result.succeeded() ? null : ConnectFailure.of(result.cause());
    if (failure != null && failure.isLocal()) {
      handleLocalFailure(failure, result.cause());
      return;
    }
    backoff.attemptSucceeded();
    if (failure == null) {
      onConnected(result.result());
    } else {
      listener.connectFailed(AttemptOutcome.CONNECT_FAILED);
      listener.retryWaiting();
    }
  }

  private void onConnected(NetSocket socket) {
    if (closed) {
      socket.close();
    } else {
      listener.connected(socket);
    }
  }

  /**
   * Handles a connect that failed on this host and never reached the cache, which therefore is not
   * blamed. Waiting commands are retried after a backoff; once the backoff is exhausted they end as
   * {@link AttemptOutcome#NOT_SENT}, so that they can be sent to another cache.
   */
  private void handleLocalFailure(ConnectFailure failure, Throwable cause) {
    if (!backoff.isFailing()) {
      LOG.warning(
          target
              + ": connect failed on this host, "
              + failure
              + ": "
              + cause.getMessage()
              + "; retrying with backoff");
    }
    if (!backingOff) { // Connects that fail during the backoff count as one failure.
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
   * Returns the outcome of an attempt that ran out of time before it was sent. It is attributed to
   * the cache only if a connect to it has been in progress for long enough to be evidence.
   */
  AttemptOutcome unsentOutcome(long connectTimeoutNanos) {
    boolean cacheAtFault =
        !backoff.isFailing()
            && pendingConnects > 0
            && ConnectFailureEvidence.isEvidence(
                clock.getAsLong() - connectsPendingSinceNanos, connectTimeoutNanos);
    return cacheAtFault ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.WITHDRAWN;
  }

  /** Makes the connector close every connection that is still established. */
  void close() {
    closed = true;
  }
}
