package org.amberpath.gateway.client;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The connections of all clients. Evicts the least useful connection when their number exceeds its
 * bound, and closes connections whose client does not complete a message in time.
 */
public final class ClientConnections {
  /** How requests and new connections are treated. */
  private enum Mode {
    /** Requests are admitted. */
    SERVING,
    /** Each newly received request is rejected as overloaded. */
    REJECTING,
    /** All connections are half-closed, new ones as soon as they are added. */
    HALF_CLOSED
  }

  /**
   * How long a client may take for a complete message. Clients that violate the protocol must be
   * disconnected within 3 s, which this time and one sweep interval together do not exceed.
   */
  private static final long MESSAGE_TIMEOUT_NANOS = 2_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Delay before an eviction, in which the event loop reads from the connection once more. */
  private static final long EVICTION_DELAY_MILLIS = 2;

  /**
   * Connections allowed in addition to the bound, for those that are about to be evicted and those
   * whose clients are still reading their last responses.
   */
  public static final int SPARE_CONNECTIONS = 8;

  private final Vertx vertx;
  private final int maxConnections;
  private final LongSupplier clock;
  private final Set<ClientConnection> openConnections = new LinkedHashSet<>();

  /**
   * Open connections that are evicted {@link #EVICTION_DELAY_MILLIS} after their selection at the
   * latest, unless a request is in flight on them by then.
   */
  private final Set<ClientConnection> evictingConnections = new LinkedHashSet<>();

  /** Connections that read nothing more but still hold a descriptor, in the order of their end. */
  private final Set<ClientConnection> closingConnections = new LinkedHashSet<>();

  private Mode mode = Mode.SERVING;

  /**
   * Creates an empty set of connections.
   *
   * @param maxConnections the bound on connections, not counting {@link #SPARE_CONNECTIONS}
   * @param clock monotonic time in nanoseconds
   */
  public ClientConnections(Vertx vertx, int maxConnections, LongSupplier clock) {
    this.vertx = vertx;
    this.maxConnections = maxConnections;
    this.clock = clock;
  }

  /**
   * Adds an accepted connection. Above the bound, the least useful connection is evicted, which
   * need not be the new one. On return at most {@code maxConnections} + {@link #SPARE_CONNECTIONS}
   * connections hold a descriptor; one more does while this method runs.
   */
  public void add(ClientConnection added) {
    openConnections.add(added);
    if (mode != Mode.SERVING) {
      added.rejectNewRequests();
    }
    if (mode == Mode.HALF_CLOSED) {
      added.closeAfterFlush();
      if (exceedsSpareConnections()) {
        added.close(); // Nothing has been read from it, so no response is pending.
      }
      return;
    }
    if (openConnections.size() - evictingConnections.size() > maxConnections) {
      startEvicting(findLeastUseful(added));
    }
    while (exceedsSpareConnections()) {
      if (!closingConnections.isEmpty()) {
        closingConnections.iterator().next().close();
      } else if (!evictingConnections.isEmpty()) {
        evict(evictingConnections.iterator().next());
      } else {
        added.close();
      }
    }
  }

  private boolean exceedsSpareConnections() {
    return descriptorCount() > maxConnections + SPARE_CONNECTIONS;
  }

  /**
   * Selects the connection to evict: the idle one of the lowest activity, and among those the one
   * without activity for longest; the added connection if all others have requests in flight.
   */
  private ClientConnection findLeastUseful(ClientConnection added) {
    ClientConnection least = null;
    for (ClientConnection candidate : openConnections) {
      // A connection with requests in flight is kept even if a partial message follows them.
      if (candidate != added
          && !evictingConnections.contains(candidate)
          && candidate.isIdle()
          && (least == null || isLessUseful(candidate, least))) {
        least = candidate;
      }
    }
    return least == null ? added : least;
  }

  private static boolean isLessUseful(ClientConnection first, ClientConnection second) {
    return first.activity().compareTo(second.activity()) < 0
        || (first.activity() == second.activity()
            && first.lastActivityNanos() < second.lastActivityNanos());
  }

  /**
   * Evicts a connection after the event loop has had time to read from it once more, and only if no
   * request is in flight then, so that a request that has already arrived is not lost. A connection
   * that is awaiting a message is closed immediately.
   */
  private void startEvicting(ClientConnection connection) {
    if (connection.isAwaitingMessage()) {
      connection.closeOrFlush();
      return;
    }
    evictingConnections.add(connection);
    vertx.setTimer(
        EVICTION_DELAY_MILLIS,
        timer -> {
          if (evictingConnections.contains(connection)) {
            evict(connection);
          }
        });
  }

  private void evict(ClientConnection connection) {
    evictingConnections.remove(connection);
    if (connection.isIdle()) {
      connection.closeOrFlush();
    }
  }

  /**
   * Removes a connection that reads nothing more. It counts as holding a descriptor until {@link
   * #descriptorReleased} is called.
   */
  public void remove(ClientConnection connection) {
    evictingConnections.remove(connection);
    if (openConnections.remove(connection)) {
      closingConnections.add(connection);
    }
  }

  /** Records that the descriptor of a removed connection is closed. */
  public void descriptorReleased(ClientConnection connection) {
    closingConnections.remove(connection);
  }

  /** Rejects each further request, on new connections too, because the gateway is shutting down. */
  public void rejectRequests() {
    if (mode == Mode.SERVING) {
      mode = Mode.REJECTING;
      openConnections.forEach(ClientConnection::rejectNewRequests);
    }
  }

  /**
   * Half-closes all connections, and each new one as soon as it is added. To be called when no
   * request is in flight on any of them.
   */
  public void halfCloseAll() {
    mode = Mode.HALF_CLOSED;
    List.copyOf(openConnections).forEach(ClientConnection::closeAfterFlush);
  }

  /** Returns whether {@link #halfCloseAll} has been called. */
  public boolean isHalfClosed() {
    return mode == Mode.HALF_CLOSED;
  }

  /** Returns whether all responses to connections that are closing have been written. */
  public boolean allResponsesWritten() {
    return closingConnections.stream().allMatch(ClientConnection::isFlushed);
  }

  /** Returns whether any open connection has received a message only in part. */
  public boolean hasPartialMessage() {
    return openConnections.stream().anyMatch(ClientConnection::hasPartialMessage);
  }

  /** Returns the number of descriptors that client connections hold. */
  public int descriptorCount() {
    return openConnections.size() + closingConnections.size();
  }

  /**
   * Closes connections whose clients have sent nothing, or only part of a message, for longer than
   * {@link #MESSAGE_TIMEOUT_NANOS}, and those whose clients have read nothing for that time and
   * leave so many responses unread that they are not read from.
   */
  public void sweep() {
    long nowNanos = clock.getAsLong();
    for (ClientConnection connection : List.copyOf(openConnections)) {
      if (nowNanos - connection.lastActivityNanos() <= MESSAGE_TIMEOUT_NANOS) {
        continue;
      }
      if (connection.isReadingPaused()) {
        connection.abort("reads no response");
      } else if (connection.isAwaitingMessage()) {
        connection.onProtocolError(
            (connection.hasPartialMessage() ? "message: only a part" : "message: nothing")
                + " received, expected a complete message within "
                + MESSAGE_TIMEOUT_NANOS / NANOS_PER_MILLI
                + " ms");
      }
    }
  }
}
