package org.amberpath.gateway;

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
 * How many accepted connections may hold a descriptor at a time, and since when others may have
 * waited in the accept queue. All of it is used on the event loop that accepts.
 */
final class AcceptLimit {
  private static final AttributeKey<Long> QUEUED_NANOS =
      AttributeKey.valueOf("amberpath.queuedNanos");

  private final int most;
  private final LongSupplier clock;
  private final LocalBackoff backoff = new LocalBackoff();
  private final Map<SocketChannel, DuplexChannel> open = new LinkedHashMap<>();

  /** Closed ones whose descriptor the selector holds until it selects again. */
  private final List<SocketChannel> closing = new ArrayList<>();

  private boolean paused;
  private long pausedAt;

  AcceptLimit(int most, LongSupplier clock) {
    this.most = most;
    this.clock = clock;
  }

  /**
   * For how long a connection may have waited in the accept queue while nothing was accepted; 0
   * mostly.
   */
  static long queuedNanos(NetSocket socket) {
    Long waited =
        ((NetSocketInternal) socket).channelHandlerContext().channel().attr(QUEUED_NANOS).get();
    return waited == null ? 0 : waited;
  }

  /**
   * For how long whatever waits in the accept queue may have waited there; 0 where it was seen to
   * be empty since.
   */
  long pausedNanos(long now) {
    return paused ? Math.max(0, now - pausedAt) : 0;
  }

  /** Whether what is accepted now may have waited through a pause. */
  boolean isPaused() {
    return paused;
  }

  /** Whether one more may be accepted now. */
  boolean hasRoom() {
    closing.removeIf(one -> !one.isRegistered());
    return open.size() + closing.size() < most;
  }

  /**
   * The oldest one whose client has been told of its end, if newcomers are to have its place; else
   * null. They are not where most have been ended: the gateway stops then, and what is on its way
   * to clients goes before newcomers.
   */
  DuplexChannel oldestEnded() {
    List<DuplexChannel> ended =
        open.values().stream().filter(DuplexChannel::isOutputShutdown).toList();
    return ended.isEmpty() || ended.size() > most / 2 ? null : ended.get(0);
  }

  /** Whether closed ones still hold a descriptor. */
  boolean isReleasing() {
    return !closing.isEmpty();
  }

  /** Nothing is accepted from now on, though connections may wait. */
  void paused() {
    if (!paused) {
      paused = true;
      pausedAt = clock.getAsLong();
    }
  }

  /** The accept queue was seen to be empty. */
  void emptied() {
    paused = false;
    backoff.ended();
  }

  /** An accept failed; returns for how many milliseconds none is tried. */
  long failed() {
    paused();
    return backoff.failed();
  }

  void accepted(DuplexChannel channel, SocketChannel socket) {
    open.put(socket, channel);
    channel.attr(QUEUED_NANOS).set(pausedNanos(clock.getAsLong()));
    backoff.ended();
  }

  void closed(SocketChannel socket) {
    if (open.remove(socket) != null) {
      closing.add(socket);
    }
  }
}
