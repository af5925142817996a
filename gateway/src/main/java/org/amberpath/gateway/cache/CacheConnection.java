package org.amberpath.gateway.cache;

import io.netty.channel.Channel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.gateway.transport.Channels;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;

/**
 * One connection to a cache, with multiple commands in flight and replies in any order. Confined to
 * the event loop of its pool. Times are in nanoseconds of the pool's clock.
 */
final class CacheConnection implements ReplyReader.Sink, ReceiveBufferAccounting.Holder {
  /** A partial reply of at most this length is not counted. */
  private static final int MAX_UNCOUNTED_BYTES = 4096;

  /** The states of a connection. */
  private enum State {
    /** Commands are sent and replies are read. The initial state. */
    OPEN,
    /**
     * No byte was received since a command was written that was cancelled after more than the
     * connect timeout: the peer may be unreachable. The next received byte restores {@link #OPEN}.
     */
    UNRESPONSIVE,
    /** The cache was replaced since the connection was made: no further command is sent on it. */
    RETIRED,
    /** The socket is closed, or being closed. */
    CLOSED
  }

  private final CachePool pool;
  private final NetSocket socket;
  private final Map<String, CacheCommand> inFlight = new LinkedHashMap<>();
  private final ReplyReader reader;
  private final ReceiveBufferAccounting partialReplies;
  private State state = State.OPEN;
  private long lastReadNanos;
  private long lastUsedNanos;

  /**
   * Installs the handlers of a connected socket.
   *
   * @param bounds the bounds on a reply's body, where a longer one is a protocol error, and on the
   *     bytes of partial replies
   */
  CacheConnection(CachePool pool, NetSocket socket, PoolBounds bounds, long nowNanos) {
    this.pool = pool;
    this.socket = socket;
    lastReadNanos = nowNanos;
    lastUsedNanos = nowNanos;
    reader = new ReplyReader(bounds.maxBodyBytes(), this);
    partialReplies = bounds.partialReplies();
    socket.handler(this::onRead);
    socket.exceptionHandler(e -> {}); // A close event always follows.
    socket.closeHandler(v -> onClosed());
  }

  private void onRead(Buffer bytes) {
    lastReadNanos = pool.nowNanos();
    if (state == State.UNRESPONSIVE) {
      state = State.OPEN;
    }
    reader.handle(bytes);
    if (state != State.CLOSED) {
      long partialBytes = reader.partialReplyBytes();
      partialReplies.update(this, partialBytes > MAX_UNCOUNTED_BYTES ? partialBytes : 0);
    }
  }

  /** Closes the connection, since the partial replies of all caches take too much memory. */
  @Override
  public void releaseBuffer() {
    onProtocolError("reply: only a part received and partial replies exceed their memory");
  }

  /** Returns the number of commands in flight. */
  int inFlightCount() {
    return inFlight.size();
  }

  /** Returns how long the connection has been idle; 0 while a command is in flight. */
  long idleNanos(long nowNanos) {
    return inFlight.isEmpty() ? nowNanos - lastUsedNanos : 0;
  }

  /**
   * Returns whether a further command may be sent on this connection. Not while earlier bytes are
   * unwritten: the peer does not read, and the command would leave at an unknown time, possibly
   * after a drain or its own cancellation. Nor with a partial reply when no command is in flight:
   * the reply belongs to a command that has ended, and its rest would corrupt the next one.
   */
  boolean isUsable() {
    return state == State.OPEN
        && !(inFlight.isEmpty() && reader.hasPartialReply())
        && !hasUnwrittenBytes();
  }

  private boolean hasUnwrittenBytes() {
    Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
    return channel.bytesBeforeUnwritable() < channel.config().getWriteBufferHighWaterMark();
  }

  /** Writes a command; its outcome is reported by {@link CacheCommand#onEnded}. */
  void send(CacheCommand command, long nowNanos) {
    command.connection = this;
    command.writtenAtNanos = nowNanos;
    lastUsedNanos = nowNanos;
    inFlight.put(command.requestId, command);
    socket.write(command.encode(nowNanos));
  }

  /**
   * Ends the use of this connection, because its cache was replaced by another process: closes it,
   * as soon as no command is in flight.
   */
  void retire() {
    if (inFlight.isEmpty()) {
      close();
    } else if (state != State.CLOSED) {
      state = State.RETIRED;
    }
  }

  /**
   * Cancels a command in flight; a reply to it that is still received is dropped.
   *
   * @param timedOut whether the command is cancelled because its reply did not arrive in time
   * @param timeoutNanos time since the command was written, without any byte received, after which
   *     the connection counts as unresponsive
   */
  void cancel(CacheCommand command, boolean timedOut, long timeoutNanos) {
    if (!inFlight.remove(command.requestId, command) || state == State.CLOSED) {
      return;
    }
    // A connection whose peer may be unreachable gets no new commands. A slow reply does not prove
    // that, so commands in flight on the connection continue.
    if (state == State.OPEN
        && lastReadNanos < command.writtenAtNanos
        && pool.nowNanos() - command.writtenAtNanos > timeoutNanos) {
      state = State.UNRESPONSIVE;
    }
    // An idle connection is closed if its peer may be stuck in the middle of a reply, because later
    // replies on it could not be parsed.
    if (inFlight.isEmpty()
        && (timedOut || state == State.UNRESPONSIVE || reader.hasPartialReply())) {
      close();
    } else {
      socket.write(command.encodeCancel());
    }
  }

  /** Ends the command that the reply belongs to; drops replies to commands not in flight. */
  @Override
  public void onReply(List<Buffer> elements) {
    CacheCommand command = inFlight.get(CacheReply.requestId(elements));
    if (command == null) {
      return;
    }
    CacheReply reply;
    try {
      reply = CacheReply.decode(elements, command);
    } catch (InvalidReplyException e) {
      onProtocolError(e.getMessage());
      return;
    }
    inFlight.remove(command.requestId);
    lastUsedNanos = lastReadNanos;
    command.onEnded(reply.outcome(), reply.note(), reply.body());
  }

  @Override
  public void onProtocolError(String reason) {
    if (state != State.CLOSED) {
      pool.protocolError(reason + "; connection closed");
      close();
    }
  }

  /**
   * Closes immediately. Commands in flight end with {@link AttemptOutcome#CONNECTION_LOST}, because
   * the cache may have executed them.
   */
  void close() {
    // NetSocket.close would first wait for pending writes, forever if the peer is unreachable.
    Channels.close(((NetSocketInternal) socket).channelHandlerContext());
    onClosed();
  }

  private void onClosed() {
    if (state != State.CLOSED) {
      state = State.CLOSED;
      partialReplies.remove(this);
      pool.connectionClosed(this);
      List<CacheCommand> lostCommands = new ArrayList<>(inFlight.values());
      inFlight.clear();
      lostCommands.forEach(
          command -> command.onEnded(AttemptOutcome.CONNECTION_LOST, ResponseDetail.NONE, null));
    }
  }
}
