package org.amberpath.gateway.client;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * All connections of clients: bounded in their number, and in the time that a client may take for
 * one whole message.
 */
public final class ClientConnections {
  /** What is done with requests and with new connections. */
  private enum Mode {
    /** Requests are taken. */
    SERVING,
    /** Each request that is read is rejected. */
    REJECTING,
    /** All connections are half-closed, new ones at once. */
    ENDED
  }

  /** Clients that break the protocol are closed within 3 s; this and one sweep stay below that. */
  private static final long MESSAGE_TIMEOUT_NANOS = 2_000_000_000L;

  /** How long the loop reads once more from a connection that is to be evicted. */
  private static final long LAST_READ_MILLIS = 2;

  /**
   * Connections held in addition to the bound: those about to be evicted, and those whose clients
   * read their last responses.
   */
  public static final int SPARE_CONNECTIONS = 8;

  private final Vertx vertx;
  private final int maxConnections;
  private final LongSupplier clock;
  private final Set<ClientConnection> open = new LinkedHashSet<>();

  /** Open ones that are evicted as soon as all is read that had come by then. */
  private final Set<ClientConnection> evicting = new LinkedHashSet<>();

  /** Those that take nothing more and still hold a descriptor, the oldest first. */
  private final Set<ClientConnection> closing = new LinkedHashSet<>();

  private Mode mode = Mode.SERVING;

  /**
   * No connections yet.
   *
   * @param maxConnections how many may be held, but for {@link #SPARE_CONNECTIONS}
   * @param clock monotonic nanoseconds
   */
  public ClientConnections(Vertx vertx, int maxConnections, LongSupplier clock) {
    this.vertx = vertx;
    this.maxConnections = maxConnections;
    this.clock = clock;
  }

  /**
   * Adds a connection that was accepted. Guards the descriptors: past their bound the least useful
   * connection is evicted, not the newest good one. At every instant no more are held than the
   * bound and {@link #SPARE_CONNECTIONS}, beside the one that was just accepted.
   */
  public void add(ClientConnection added) {
    open.add(added);
    if (mode != Mode.SERVING) {
      added.rejectNewRequests();
    }
    if (mode == Mode.ENDED) {
      added.closeAfterFlush();
      if (isOverSpare()) {
        added.close(); // Nothing of it was read, so no response is pending.
      }
      return;
    }
    if (open.size() - evicting.size() > maxConnections) {
      startEvicting(leastUseful(added));
    }
    while (isOverSpare()) {
      if (!closing.isEmpty()) {
        closing.iterator().next().close();
      } else if (!evicting.isEmpty()) {
        evict(evicting.iterator().next());
      } else {
        added.close();
      }
    }
  }

  private boolean isOverSpare() {
    return size() > maxConnections + SPARE_CONNECTIONS;
  }

  /** The one to evict: the added one itself where all others have requests in flight. */
  private ClientConnection leastUseful(ClientConnection added) {
    ClientConnection least = null;
    for (ClientConnection candidate : open) {
      // Guards requests in flight: half a message behind them does not make a connection useless.
      if (candidate != added
          && !evicting.contains(candidate)
          && candidate.isIdle()
          && (least == null || isLessUseful(candidate, least))) {
        least = candidate;
      }
    }
    return least == null ? added : least;
  }

  private static boolean isLessUseful(ClientConnection one, ClientConnection other) {
    return one.activity().compareTo(other.activity()) < 0
        || (one.activity() == other.activity()
            && one.lastActivityNanos() < other.lastActivityNanos());
  }

  /**
   * Guards requests that are on their way: a connection is closed only once the loop has read again
   * and still finds nothing in flight on it.
   */
  private void startEvicting(ClientConnection connection) {
    if (connection.isAwaitingMessage()) {
      connection.closeOrFlush();
      return;
    }
    evicting.add(connection);
    vertx.setTimer(
        LAST_READ_MILLIS,
        timer -> {
          if (evicting.contains(connection)) {
            evict(connection);
          }
        });
  }

  private void evict(ClientConnection connection) {
    evicting.remove(connection);
    if (connection.isIdle()) {
      connection.closeOrFlush();
    }
  }

  /** A connection takes nothing more; it holds its descriptor until {@link #released}. */
  public void remove(ClientConnection connection) {
    evicting.remove(connection);
    if (open.remove(connection)) {
      closing.add(connection);
    }
  }

  /** A connection's descriptor is free again. */
  public void released(ClientConnection connection) {
    closing.remove(connection);
  }

  /** From now on each request is rejected, on new connections too: the gateway shuts down. */
  public void reject() {
    if (mode == Mode.SERVING) {
      mode = Mode.REJECTING;
      open.forEach(ClientConnection::rejectNewRequests);
    }
  }

  /** Half-closes all connections, and each new one from now on; no response is pending on any. */
  public void end() {
    mode = Mode.ENDED;
    List.copyOf(open).forEach(ClientConnection::closeAfterFlush);
  }

  /** Whether all connections were half-closed. */
  public boolean isEnded() {
    return mode == Mode.ENDED;
  }

  /** Whether no response waits to be written to a connection that is closing. */
  public boolean allWritten() {
    return closing.stream().allMatch(ClientConnection::isFlushed);
  }

  /** Whether a client has sent part of a message, and not the rest of it. */
  public boolean hasPartialMessage() {
    return open.stream().anyMatch(ClientConnection::hasPartialMessage);
  }

  /** How many descriptors clients hold. */
  public int size() {
    return open.size() + closing.size();
  }

  /** Guards against clients that send nothing, or half a message. */
  public void sweep() {
    long nowNanos = clock.getAsLong();
    for (ClientConnection connection : List.copyOf(open)) {
      if (connection.isAwaitingMessage()
          && nowNanos - connection.lastActivityNanos() > MESSAGE_TIMEOUT_NANOS) {
        connection.onProtocolError("no whole message in time");
      }
    }
  }
}
