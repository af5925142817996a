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
 * Bounds the number of accepted connections that hold a descriptor at a time, and records since
 * when other connections may have been waiting in the kernel's accept queue. Confined to the event
 * loop that accepts. Times are in nanoseconds of the clock passed to the constructor.
 */
public final class AcceptLimit {
  private static final AttributeKey<Long> QUEUED_NANOS =
      AttributeKey.valueOf("amberpath.queuedNanos");

  private final int maxConnections;
  private final LongSupplier clock;
  private final LocalBackoff backoff = new LocalBackoff();
  private final Map<SocketChannel, DuplexChannel> openChannels = new LinkedHashMap<>();

  /** Closed sockets whose descriptors are released only by the next select call. */
  private final List<SocketChannel> releasingSockets = new ArrayList<>();

  private boolean paused;
  private long pausedAtNanos;

  /**
   * Creates the limit of one server.
   *
   * @param maxConnections maximum number of accepted connections that hold a descriptor
   * @param clock monotonic time in nanoseconds
   */
  public AcceptLimit(int maxConnections, LongSupplier clock) {
    this.maxConnections = maxConnections;
    this.clock = clock;
  }

  /**
   * Returns the longest time in nanoseconds that an accepted connection can have waited in the
   * accept queue because accepting was paused; 0 if it was not paused.
   */
  public static long queuedNanos(NetSocket socket) {
    Long queuedNanos =
        ((NetSocketInternal) socket).channelHandlerContext().channel().attr(QUEUED_NANOS).get();
    return queuedNanos == null ? 0 : queuedNanos;
  }

  /**
   * Returns the longest time in nanoseconds that a connection now in the accept queue can have
   * waited there because of a pause; 0 if the queue has been empty since the last pause.
   */
  long pausedNanos(long nowNanos) {
    return paused ? Math.max(0, nowNanos - pausedAtNanos) : 0;
  }

  /** Returns whether connections accepted now may have waited in the queue during a pause. */
  boolean isPaused() {
    return paused;
  }

  /** Returns whether one more connection may be accepted now. */
  boolean hasCapacity() {
    releasingSockets.removeIf(socket -> !socket.isRegistered());
    return openChannels.size() + releasingSockets.size() < maxConnections;
  }

  /**
   * Returns the oldest half-closed connection, which may be closed to free a descriptor for a new
   * one; null if there is none. Also null if more than half of {@code maxConnections} are
   * half-closed: then the gateway is shutting down, and delivering the responses in transit takes
   * precedence over new connections.
   */
  DuplexChannel oldestHalfClosed() {
    List<DuplexChannel> halfClosed =
        openChannels.values().stream().filter(DuplexChannel::isOutputShutdown).toList();
    return halfClosed.isEmpty() || halfClosed.size() > maxConnections / 2
        ? null
        : halfClosed.get(0);
  }

  /** Returns whether closed connections still hold a descriptor. */
  boolean isReleasing() {
    return !releasingSockets.isEmpty();
  }

  /** Records that accepting is paused although connections may be waiting in the queue. */
  void pause() {
    if (!paused) {
      paused = true;
      pausedAtNanos = clock.getAsLong();
    }
  }

  /** Records that the accept queue is empty, so that later connections have not waited in it. */
  void queueEmptied() {
    paused = false;
    backoff.attemptSucceeded();
  }

  /** Records a failed accept; returns the backoff until the next one in milliseconds. */
  long acceptFailed() {
    pause();
    return backoff.attemptFailed();
  }

  /**
   * Records an accepted connection, which holds a descriptor until {@link #closed} and a select.
   */
  void accepted(DuplexChannel channel, SocketChannel socket) {
    openChannels.put(socket, channel);
    channel.attr(QUEUED_NANOS).set(pausedNanos(clock.getAsLong()));
    backoff.attemptSucceeded();
  }

  /** Records a closed connection, whose descriptor is released by the next select. */
  void closed(SocketChannel socket) {
    if (openChannels.remove(socket) != null) {
      releasingSockets.add(socket);
    }
  }
}
