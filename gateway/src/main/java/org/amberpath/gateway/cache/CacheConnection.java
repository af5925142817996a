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
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;

/**
 * One connection to a cache: many commands in flight, replies in any order. Used on the event loop
 * of its pool. Times are nanoseconds of the pool's clock.
 */
final class CacheConnection implements ReplyReader.Sink {
  /** The states of a connection. */
  private enum State {
    /** Commands are sent and replies read. */
    OPEN,
    /** A command was waited for in vain and nothing received since: the peer may have vanished. */
    UNRESPONSIVE,
    /** The socket is closed, or being closed. */
    CLOSED
  }

  private final CachePool pool;
  private final NetSocket socket;
  private final Map<String, CacheCommand> inFlight = new LinkedHashMap<>();
  private final ReplyReader reader;
  private State state = State.OPEN;
  private long lastReadNanos;
  private long lastUsedNanos;

  /** Takes over a socket that is connected; replies have bodies of maxBodyBytes at most. */
  CacheConnection(CachePool pool, NetSocket socket, int maxBodyBytes, long nowNanos) {
    this.pool = pool;
    this.socket = socket;
    lastReadNanos = nowNanos;
    lastUsedNanos = nowNanos;
    reader = new ReplyReader(maxBodyBytes, this);
    socket.handler(this::read);
    socket.exceptionHandler(e -> {}); // The close event that follows covers it.
    socket.closeHandler(v -> ended());
  }

  private void read(Buffer bytes) {
    lastReadNanos = pool.nowNanos();
    if (state == State.UNRESPONSIVE) {
      state = State.OPEN;
    }
    reader.handle(bytes);
  }

  /** How many commands are in flight. */
  int load() {
    return inFlight.size();
  }

  /** For how many nanoseconds it has been idle; 0 while a command is in flight. */
  long idleNanos(long nowNanos) {
    return inFlight.isEmpty() ? nowNanos - lastUsedNanos : 0;
  }

  /**
   * Whether a further command may be sent on it. Guards against a peer that does not read, behind
   * whose bytes a command would be sent at an unknown time, after drains and cancels; and against
   * half a reply to a command that is not in flight any more, which would corrupt the next.
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

  /** Sends a command; its outcome is reported to it. */
  void send(CacheCommand command, long nowNanos) {
    command.connection = this;
    command.writtenAtNanos = nowNanos;
    lastUsedNanos = nowNanos;
    inFlight.put(command.requestId, command);
    socket.write(command.encode(nowNanos));
  }

  /**
   * Cancels a command that is in flight; a reply that crosses this is dropped.
   *
   * @param timedOut whether its reply was waited for in vain
   * @param timeoutNanos after how long without any byte the peer counts as unresponsive
   */
  void cancel(CacheCommand command, boolean timedOut, long timeoutNanos) {
    if (!inFlight.remove(command.requestId, command) || state == State.CLOSED) {
      return;
    }
    // Guards against a peer that vanished: a dead connection gets no new commands. One slow reply
    // is no proof, so what is in flight on it goes on.
    if (lastReadNanos < command.writtenAtNanos
        && pool.nowNanos() - command.writtenAtNanos > timeoutNanos) {
      state = State.UNRESPONSIVE;
    }
    // Guards against replies that stop in the middle: what would follow on that connection is
    // unusable.
    if (inFlight.isEmpty()
        && (timedOut || state == State.UNRESPONSIVE || reader.hasPartialReply())) {
      close();
    } else {
      socket.write(command.encodeCancel());
    }
  }

  /** Ends the command that a reply is for; replies to commands not in flight are dropped. */
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
    command.ended(reply.outcome(), reply.note(), reply.body());
  }

  @Override
  public void onProtocolError(String reason) {
    if (state != State.CLOSED) {
      pool.protocolError(reason);
      close();
    }
  }

  /** Closes at once; commands in flight are lost: the cache may have run them. */
  void close() {
    // Guards against a peer that vanished: a plain close would wait until it has read all.
    Channels.close(((NetSocketInternal) socket).channelHandlerContext());
    ended();
  }

  private void ended() {
    if (state != State.CLOSED) {
      state = State.CLOSED;
      pool.closed(this);
      List<CacheCommand> lost = new ArrayList<>(inFlight.values());
      inFlight.clear();
      lost.forEach(
          command -> command.ended(AttemptOutcome.CONNECTION_LOST, ResponseDetail.NONE, null));
    }
  }
}
