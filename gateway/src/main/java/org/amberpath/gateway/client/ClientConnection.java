package org.amberpath.gateway.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.amberpath.gateway.transport.Channels;

/**
 * One client's connection: MessagePack-RPC requests in, responses out, in any order. Used on the
 * event loop of its socket alone. At most 32 requests are in flight; bytes that the client does not
 * read are bounded by {@link WriteBufferAccounting}.
 */
public final class ClientConnection implements MessageReader.Sink {
  /** The longest body that clients send or receive. */
  public static final int MAX_BODY_BYTES = 240_000;

  private static final int MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 16_384;

  /** How long a client has to read its last responses once they are written. */
  private static final long LINGER_MILLIS = 300;

  private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(LINGER_MILLIS);

  /** How long writing the last responses may take. */
  private static final long FLUSH_TIMEOUT_MILLIS = 2000;

  private final NetSocket socket;
  private final ClientHandler handler;
  private final LongSupplier clock;
  private final MessageReader reader = new MessageReader(MAX_MESSAGE_BYTES, this);
  private final RequestSession requests;
  private final WriteBufferAccounting accounting;
  private ClientConnectionState state = ClientConnectionState.OPEN;

  /** Whether a read is being decoded; a violation in it ends the connection after its end. */
  private boolean decoding;

  private boolean responded;
  private long lastActivityNanos;
  private long lastWriteNanos;

  /** Bytes of responses that are not written yet; counted by the accounting. */
  long unreadBytes;

  /**
   * Takes over a socket that was accepted.
   *
   * @param accounting bounds the bytes that clients leave unread
   * @param clock monotonic nanoseconds
   */
  public ClientConnection(
      NetSocket socket,
      WriteBufferAccounting accounting,
      LongSupplier clock,
      ClientHandler handler) {
    this.socket = socket;
    this.accounting = accounting;
    this.clock = clock;
    this.handler = handler;
    requests = new RequestSession(this, handler);
    lastActivityNanos = clock.getAsLong();
    socket.handler(
        bytes -> {
          if (state.sendsResponses()) {
            read(bytes);
          }
        });
    socket.exceptionHandler(e -> {}); // The close event that follows covers it.
    socket.closeHandler(v -> enter(ClientConnectionState.CLOSED));
  }

  private void read(Buffer bytes) {
    boolean startsMessage = !reader.hasPartialMessage();
    decoding = true;
    reader.handle(bytes);
    decoding = false;
    if (requests.hasReceivedMessage() && (startsMessage || !reader.hasPartialMessage())) {
      lastActivityNanos = clock.getAsLong();
    }
    if (state == ClientConnectionState.FAILING) {
      // Guards the requests that were received with the violation: each has its error by now.
      closeOrFlush();
    }
  }

  /** Whether a message has been received in part. */
  public boolean hasPartialMessage() {
    return reader.hasPartialMessage();
  }

  /** Whether a complete message is due: the first one, or the rest of a partial one. */
  public boolean isAwaitingMessage() {
    return !requests.hasReceivedMessage() || reader.hasPartialMessage();
  }

  /** What the client has sent so far. */
  public ClientActivity activity() {
    if (isAwaitingMessage()) {
      return ClientActivity.AWAITING_MESSAGE;
    }
    return requests.hasReceivedRequest() ? ClientActivity.REQUESTS : ClientActivity.NO_REQUEST;
  }

  /** Whether no request is in flight. */
  public boolean isIdle() {
    return requests.isIdle();
  }

  /**
   * Since when a complete message is due, if one is; else when the last message or response passed.
   * Nanoseconds of the connection's clock.
   */
  public long lastActivityNanos() {
    return lastActivityNanos;
  }

  @Override
  public boolean onMessage(byte[] bytes, int start, int end) {
    try {
      requests.handle(bytes, start, end);
    } catch (IOException | RuntimeException e) {
      onProtocolError(ProtocolException.reasonOf(e));
    }
    return state.sendsResponses();
  }

  /** Rejects each request from now on, except one that has been received in part already. */
  public void rejectNewRequests() {
    requests.rejectNewRequests(reader.hasPartialMessage());
  }

  /**
   * Answers an invalid request with an error. Guards against clients that violate the protocol: no
   * body is sent to this one any more.
   */
  public void rejectInvalidRequest(long messageId, String reason) {
    requests.rejectInvalidRequest(messageId, reason);
  }

  /**
   * The stream cannot be used any more: reads nothing more, and ends once each request has its
   * error.
   */
  @Override
  public void onProtocolError(String reason) {
    if (state == ClientConnectionState.OPEN) {
      requests.markViolated();
      enter(ClientConnectionState.FAILING);
      stopReading();
      handler.protocolViolated(this, reason);
      if (!decoding) {
        closeOrFlush();
      }
    }
  }

  /** Closes at once, since the client leaves its responses unread and their memory is needed. */
  void abort(String reason) {
    if (state.sendsResponses()) {
      handler.protocolViolated(this, reason);
    }
    close();
  }

  /** Answers a status request. */
  void sendStatus(long messageId, boolean ready) {
    if (requests.finish(messageId)) {
      send(ResponseEncoder.status(messageId, ready));
    }
  }

  /** Answers a request that is in flight with the body of a part. */
  public void sendBody(long messageId, Buffer body) {
    if (requests.finish(messageId)) {
      send(ResponseEncoder.body(messageId, body));
    }
  }

  /** Answers a request that is in flight: the copy that the client holds is current. */
  public void sendNotModified(long messageId) {
    if (requests.finish(messageId)) {
      send(ResponseEncoder.notModified(messageId));
    }
  }

  /**
   * Rejects a request that is in flight and has not run.
   *
   * @param retryAfterNanos the Retry-After in nanoseconds; 0 for none
   */
  public void sendOverloaded(long messageId, long retryAfterNanos) {
    if (requests.finish(messageId)) {
      send(ResponseEncoder.overloaded(messageId, retryAfterNanos));
    }
  }

  /** Answers a request that is in flight with an error and its reason. */
  public void sendError(long messageId, String reason) {
    if (requests.finish(messageId)) {
      send(ResponseEncoder.internalError(messageId, reason));
    }
  }

  private void send(Buffer response) {
    if (requests.hasReceivedMessage() && !reader.hasPartialMessage()) {
      lastActivityNanos = clock.getAsLong();
    }
    if (!state.sendsResponses()) {
      return;
    }
    accounting.add(this, response.length()); // First: a write may complete at once.
    if (state.sendsResponses()) {
      responded = true;
      socket.write(response).onComplete(done -> written(response.length()));
    } else {
      written(response.length());
    }
  }

  private void written(long bytes) {
    accounting.remove(this, bytes);
    lastWriteNanos = clock.getAsLong();
    halfCloseWhenFlushed();
  }

  /** Whether all responses have been written to the socket. */
  public boolean isFlushed() {
    return unreadBytes == 0;
  }

  /** Whether the client has had time to read all its responses, so that a close loses none. */
  public boolean hasLingered() {
    return isFlushed() && (!responded || clock.getAsLong() - lastWriteNanos > LINGER_NANOS);
  }

  /** Closes at once where no response can still be on its way, else after flushing. */
  public void closeOrFlush() {
    if (hasLingered()) {
      // Guards the CPU and the descriptors: a client without a response is not waited for.
      close();
    } else {
      closeAfterFlush();
    }
  }

  /**
   * Closes gracefully: nothing more is read, the responses are written, the output is shut down and
   * the client has a bounded time to read. What it sends meanwhile stays unread, so that it may be
   * sent again elsewhere. Guards responses on their way: a close over unread bytes resets the
   * connection, and discards what the client has not read.
   */
  public void closeAfterFlush() {
    if (state.sendsResponses()) {
      stopReading();
      enter(ClientConnectionState.FLUSHING);
      halfCloseWhenFlushed();
      if (state == ClientConnectionState.FLUSHING) {
        closeAfter(FLUSH_TIMEOUT_MILLIS);
      }
    }
  }

  /**
   * Guards requests that could not be answered any more, and the CPU: bytes stay with the kernel,
   * also the rest of a read that is under way, and a connection without read interest wakes no
   * loop. Vert.x's own pause reads on and queues.
   */
  private void stopReading() {
    context().channel().config().setAutoRead(false);
  }

  private void halfCloseWhenFlushed() {
    if (state == ClientConnectionState.FLUSHING && isFlushed()) {
      enter(ClientConnectionState.HALF_CLOSED);
      Channels.shutdownOutput((DuplexChannel) context().channel());
      closeAfter(LINGER_MILLIS);
    }
  }

  private void closeAfter(long millis) {
    Channels.schedule(context().executor(), this::close, millis);
  }

  private ChannelHandlerContext context() {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }

  /** Closes at once, whatever the client has not read. */
  public void close() {
    // Guards against a peer that does not read: a plain close would wait until it has.
    Channels.close(context());
    enter(ClientConnectionState.CLOSED);
  }

  private void enter(ClientConnectionState next) {
    ClientConnectionState previous = state;
    if (next.compareTo(previous) <= 0) {
      return;
    }
    state = next;
    if (previous.sendsResponses() && !next.sendsResponses()) {
      requests.dropAll();
      handler.connectionEnded(this);
    }
    if (next == ClientConnectionState.CLOSED) {
      handler.descriptorReleased(this);
    }
  }

  @Override
  public String toString() {
    return "client " + socket.remoteAddress();
  }
}
