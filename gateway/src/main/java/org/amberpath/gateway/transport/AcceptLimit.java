package org.amberpath.gateway.transport;

import io.netty.channel.socket.DuplexChannel;
import io.netty.util.AttributeKey;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.amberpath.routing.LocalBackoff;

/**
 * Bounds how many accepted connections hold a descriptor at a time, and knows since when others may
 * have waited in the accept queue. Confined to the event loop that accepts. Times are nanoseconds
 * of the clock it is given.
 */
public final class AcceptLimit {
  private static final AttributeKey<Long> QUEUED_NANOS =
      AttributeKey.valueOf("amberpath.queuedNanos");

  private final int maxConnections;
  private final LongSupplier clock;
  private final LocalBackoff backoff = new LocalBackoff();
  private final Map<SocketChannel, DuplexChannel> openChannels = new LinkedHashMap<>();

  /** Closed sockets whose descriptor the selector holds until it selects again. */
  private final List<SocketChannel> releasing = new ArrayList<>();

  private boolean paused;
  private long pausedAtNanos;

  /**
   * A limit on the connections of one server.
   *
   * @param maxConnections how many accepted connections may hold a descriptor
   * @param clock monotonic nanoseconds
   */
  public AcceptLimit(int maxConnections, LongSupplier clock) {
    this.maxConnections = maxConnections;
    this.clock = clock;
  }

  /**
   * For how long a connection may have waited in the accept queue through a pause; 0 where there
   * was none.
   */
  public static long queuedNanos(NetSocket socket) {
    Long queuedNanos =
        ((NetSocketInternal) socket).channelHandlerContext().channel().attr(QUEUED_NANOS).get();
    return queuedNanos == null ? 0 : queuedNanos;
  }

  /**
   * For how long what waits in the accept queue may have waited there; 0 where the queue was empty
   * since the last pause.
   */
  long pausedNanos(long nowNanos) {
    return paused ? Math.max(0, nowNanos - pausedAtNanos) : 0;
  }

  /** Whether what is accepted now may have waited through a pause. */
  boolean isPaused() {
    return paused;
  }

  /** Whether one more connection may be accepted now. */
  boolean hasCapacity() {
    releasing.removeIf(socket -> !socket.isRegistered());
    return openChannels.size() + releasing.size() < maxConnections;
  }

  /**
   * The oldest half-closed connection, if a new one may take its descriptor; else null. It may not
   * where most connections are half-closed: the gateway shuts down then, and what is on its way to
   * clients goes before new connections.
   */
  DuplexChannel oldestHalfClosed() {
    List<DuplexChannel> halfClosed =
        openChannels.values().stream().filter(DuplexChannel::isOutputShutdown).toList();
    return halfClosed.isEmpty() || halfClosed.size() > maxConnections / 2
        ? null
        : halfClosed.get(0);
  }

  /** Whether closed connections still hold a descriptor. */
  boolean isReleasing() {
    return !releasing.isEmpty();
  }

  /** Accepting pauses from now on, though connections may wait in the queue. */
  void pause() {
    if (!paused) {
      paused = true;
      pausedAtNanos = clock.getAsLong();
    }
  }

  /** The accept queue is empty: whatever comes from now on has not waited through a pause. */
  void queueEmptied() {
    paused = false;
    backoff.attemptSucceeded();
  }

  /** An accept failed; returns the backoff in milliseconds. */
  long acceptFailed() {
    pause();
    return backoff.attemptFailed();
  }

  /** A connection was accepted and holds a descriptor from now on. */
  void accepted(DuplexChannel channel, SocketChannel socket) {
    openChannels.put(socket, channel);
    channel.attr(QUEUED_NANOS).set(pausedNanos(clock.getAsLong()));
    backoff.attemptSucceeded();
  }

  /** A connection was closed; its descriptor is free after the next select. */
  void closed(SocketChannel socket) {
    if (openChannels.remove(socket) != null) {
      releasing.add(socket);
    }
  }
}
