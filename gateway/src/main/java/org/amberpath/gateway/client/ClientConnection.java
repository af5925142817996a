package org.amberpath.gateway.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.function.LongSupplier;
import org.amberpath.gateway.transport.BudgetedReads;
import org.amberpath.gateway.transport.Channels;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;
import org.amberpath.routing.ReadBudget;
import org.amberpath.routing.ResponseBufferLimit;

/**
 * The server side of one client's MessagePack-RPC connection. Responses are sent in the order in
 * which requests complete. At most 32 requests are in flight; {@link WriteBufferAccounting} bounds
 * the response bytes that are not yet written to the socket, {@link ReceiveBufferAccounting} the
 * bytes of partially received messages. Confined to the event loop of the socket.
 */
public final class ClientConnection implements MessageReader.Sink {
  /** Maximum length in bytes of a body that a client sends or receives. */
  public static final int MAX_BODY_BYTES = 240_000;

  private static final int MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 16_384;

  /** Maximum time for writing the remaining responses of a connection that is closing. */
  private static final long FLUSH_TIMEOUT_MILLIS = 2000;

  private final NetSocket socket;
  private final ClientHandler handler;
  private final LongSupplier clock;
  private final MessageReader reader;
  private final RequestSession session;
  private final WriteBufferAccounting accounting;
  private final ResponseStream responses;
  private final ReadBudget readBudget = new ReadBudget();
  private ClientConnectionState state = ClientConnectionState.OPEN;

  /**
   * Whether the bytes of one read are being decoded. A protocol error during that time closes the
   * connection only after all messages of the read have been handled.
   */
  private boolean decodingRead;

  /** Whether nothing is read until the client has read some of its responses. */
  private boolean readingPaused;

  private long lastActivityNanos;

  /**
   * Installs the handlers of an accepted socket and starts to decode what the client sends.
   *
   * @param accounting bounds the unwritten response bytes, shared by all client connections
   * @param partialMessages bounds the bytes of partial messages, shared by all client connections
   * @param clock monotonic time in nanoseconds
   * @param handler receives the decoded requests and the events of the connection
   */
  public ClientConnection(
      NetSocket socket,
      WriteBufferAccounting accounting,
      ReceiveBufferAccounting partialMessages,
      LongSupplier clock,
      ClientHandler handler) {
    this.socket = socket;
    this.accounting = accounting;
    this.clock = clock;
    this.handler = handler;
    responses = new ResponseStream(this, socket, accounting, clock);
    session = new RequestSession(this, handler);
    reader = new MessageReader(MAX_MESSAGE_BYTES, partialMessages, this);
    lastActivityNanos = clock.getAsLong();
    BudgetedReads.install(context().channel(), readBudget, clock);
    socket.handler(
        bytes -> {
          if (state.sendsResponses()) {
            onRead(bytes);
          }
        });
    socket.exceptionHandler(e -> {}); // A close event always follows.
    socket.closeHandler(v -> transitionTo(ClientConnectionState.CLOSED));
  }

  private void onRead(Buffer bytes) {
    boolean startsMessage = !reader.hasPartialMessage();
    decodingRead = true;
    responses.startJoining();
    reader.handle(bytes);
    decodingRead = false;
    responses.writeJoined();
    if (session.hasReceivedMessage() && (startsMessage || !reader.hasPartialMessage())) {
      lastActivityNanos = clock.getAsLong();
    }
    if (state == ClientConnectionState.FAILING) {
      // Deferred until here, so that each request received in the same read has got its error.
      closeOrFlush();
    }
    updateReading();
  }

  /**
   * Stops reading while the client leaves too many responses unread, and resumes afterwards. The
   * channel waits to write then, which shows a connection that the client has closed.
   */
  private void updateReading() {
    boolean permitted =
        ResponseBufferLimit.permitsReading(responses.unwrittenCount(), !readingPaused);
    if (state == ClientConnectionState.OPEN && permitted == readingPaused) {
      readingPaused = !permitted;
      lastActivityNanos = clock.getAsLong();
      context().channel().config().setAutoRead(permitted);
    }
  }

  /** Returns whether the client can't send anything before it has read some of its responses. */
  public boolean isReadingPaused() {
    return readingPaused;
  }

  /** Returns what has been read from the client. */
  public ReadBudget input() {
    return readBudget;
  }

  /** Returns whether the last message has been received only in part. */
  public boolean hasPartialMessage() {
    return reader.hasPartialMessage();
  }

  /**
   * Returns whether the client still owes a complete message: its first one, or the rest of a
   * partially received one.
   */
  public boolean isAwaitingMessage() {
    return !session.hasReceivedMessage() || reader.hasPartialMessage();
  }

  /** Returns what the client has sent so far, which decides how early it is evicted. */
  public ClientActivity activity() {
    if (isAwaitingMessage()) {
      return ClientActivity.AWAITING_MESSAGE;
    }
    return session.hasReceivedRequest() ? ClientActivity.REQUESTS : ClientActivity.NO_REQUEST;
  }

  /** Returns whether no request is in flight. */
  public boolean isIdle() {
    return session.isIdle();
  }

  /**
   * Returns the time from which {@link #isAwaitingMessage} has been true, if it is; otherwise the
   * time of the last message or response. While reading is paused, the time at which the client
   * last read a response. In nanoseconds of the connection's clock.
   */
  public long lastActivityNanos() {
    return lastActivityNanos;
  }

  @Override
  public boolean onMessage(byte[] bytes, int start, int end) {
    readBudget.messageHandled();
    try {
      session.handle(bytes, start, end);
    } catch (IOException | RuntimeException e) {
      onProtocolError(ProtocolException.reasonOf(e));
    }
    return state.sendsResponses();
  }

  @Override
  public void onDiscarding(byte[] bytes, int end) {
    try {
      session.startDiscarding(bytes, end);
    } catch (IOException | RuntimeException e) {
      onProtocolError(ProtocolException.reasonOf(e));
    }
  }

  @Override
  public boolean onDiscarded() {
    try {
      session.rejectDiscarded();
    } catch (IOException e) {
      onProtocolError(ProtocolException.reasonOf(e));
    }
    return state.sendsResponses();
  }

  /**
   * Rejects each further request as overloaded, except one that has already been received in part.
   */
  public void rejectNewRequests() {
    session.rejectNewRequests(reader.hasPartialMessage());
  }

  /**
   * Answers an invalid request with an error and reports the protocol error. Afterwards the client
   * is not trusted: requests on this connection, in flight or new, get only errors.
   */
  public void rejectInvalidRequest(long messageId, String reason) {
    session.rejectInvalidRequest(messageId, reason);
  }

  /**
   * Stops reading after a protocol error, lets the handler fail the requests in flight, and closes
   * the connection once the error responses are sent.
   */
  @Override
  public void onProtocolError(String reason) {
    if (state == ClientConnectionState.OPEN) {
      session.markViolated();
      transitionTo(ClientConnectionState.FAILING);
      stopReading();
      handler.protocolViolated(this, reason + "; connection closed");
      if (!decodingRead) {
        closeOrFlush();
      }
    }
  }

  /** Closes immediately to free the memory of responses that the client does not read. */
  void abort(String reason) {
    if (state.sendsResponses()) {
      handler.protocolViolated(this, reason + "; connection closed");
    }
    close();
  }

  /** Answers a status request with whether the gateway is ready. */
  void sendStatus(long messageId, boolean ready) {
    if (session.removeInFlight(messageId)) {
      send(ResponseEncoder.status(messageId, ready));
    }
  }

  /**
   * Answers a request in flight with the body of a part, or with an error if the client leaves so
   * much unread that the memory for another body is missing. Does nothing for any other message id.
   */
  public void sendBody(long messageId, Buffer body) {
    if (!session.removeInFlight(messageId)) {
      return;
    }
    if (accounting.permitsBody(responses, body.length())) {
      send(ResponseEncoder.body(messageId, body));
    } else {
      handler.requestShed(
          this,
          "reads too slowly: response of "
              + body.length()
              + " bytes not sent, "
              + responses.unwrittenBytes
              + " bytes unwritten");
      send(ResponseEncoder.internalError(messageId, "too many responses are unread"));
    }
  }

  /**
   * Answers a request in flight with "not modified": the copy that the client holds is current.
   * Does nothing for any other message id.
   */
  public void sendNotModified(long messageId) {
    if (session.removeInFlight(messageId)) {
      send(ResponseEncoder.notModified(messageId));
    }
  }

  /**
   * Answers a request in flight as overloaded: it was not executed and may be sent again. Does
   * nothing for any other message id.
   *
   * @param retryAfterNanos delay before the client should retry, in nanoseconds; 0 for none
   */
  public void sendOverloaded(long messageId, long retryAfterNanos) {
    if (session.removeInFlight(messageId)) {
      send(ResponseEncoder.overloaded(messageId, retryAfterNanos));
    }
  }

  /** Answers a request in flight with an error; does nothing for any other message id. */
  public void sendError(long messageId, String reason) {
    if (session.removeInFlight(messageId)) {
      send(ResponseEncoder.internalError(messageId, reason));
    }
  }

  private void send(Buffer response) {
    if (session.hasReceivedMessage() && !reader.hasPartialMessage()) {
      lastActivityNanos = clock.getAsLong();
    }
    responses.send(response);
  }

  /** Called by the response stream when responses were written to the socket. */
  void responsesWritten() {
    if (readingPaused) {
      lastActivityNanos = clock.getAsLong();
    }
    halfCloseWhenFlushed();
    updateReading();
  }

  /** Returns whether all responses have been written to the socket. */
  public boolean isFlushed() {
    return responses.isFlushed();
  }

  /** Closes immediately if no response can still be in transit, otherwise after flushing. */
  public void closeOrFlush() {
    if (responses.hasLingered()) {
      // Not waiting for such a client saves CPU and frees its descriptor.
      close();
    } else {
      closeAfterFlush();
    }
  }

  /**
   * Closes gracefully: stops reading, writes the remaining responses, shuts down the output and
   * closes the socket after the client has had a bounded time to read. What the client sends in the
   * meantime is not read, so the client may safely send it again elsewhere. Guards responses in
   * transit: closing a socket that has unread received bytes resets the connection, and a reset
   * discards the responses that the client has not read yet.
   */
  public void closeAfterFlush() {
    if (state.sendsResponses()) {
      stopReading();
      responses.writeJoined();
      transitionTo(ClientConnectionState.FLUSHING);
      halfCloseWhenFlushed();
      if (state == ClientConnectionState.FLUSHING) {
        scheduleClose(FLUSH_TIMEOUT_MILLIS);
      }
    }
  }

  /**
   * Disables reads on the channel, so that further bytes stay in the kernel's receive buffer: no
   * request is read that could not be answered any more, and the connection without read interest
   * costs the event loop no CPU. {@code NetSocket.pause} is not enough, because Vert.x then keeps
   * reading and queues what it read.
   */
  private void stopReading() {
    context().channel().config().setAutoRead(false);
  }

  private void halfCloseWhenFlushed() {
    if (state == ClientConnectionState.FLUSHING && isFlushed()) {
      transitionTo(ClientConnectionState.HALF_CLOSED);
      Channels.shutdownOutput((DuplexChannel) context().channel());
      scheduleClose(ResponseStream.LINGER_MILLIS);
    }
  }

  private void scheduleClose(long millis) {
    Channels.schedule(context().executor(), this::close, millis);
  }

  private ChannelHandlerContext context() {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }

  /** Closes immediately and drops responses that are not yet written. */
  public void close() {
    // NetSocket.close would first wait for pending writes, forever if the client does not read.
    Channels.close(context());
    transitionTo(ClientConnectionState.CLOSED);
  }

  private void transitionTo(ClientConnectionState next) {
    ClientConnectionState previous = state;
    if (next.compareTo(previous) <= 0) {
      return;
    }
    state = next;
    if (previous.sendsResponses() && !next.sendsResponses()) {
      reader.stop();
      responses.stop();
      session.dropAll();
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
