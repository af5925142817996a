package org.amberpath.gateway.client;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** One client's connection: MessagePack-RPC requests in, answers out, in any order. */
public final class ClientConnection implements MessageReader.Sink {
  /** The longest body that clients send or get. */
  public static final int LONGEST_BODY = 240_000;

  private static final int REQUEST = 0, RESPONSE = 1, NOTIFICATION = 2;
  private static final int LONGEST = LONGEST_BODY + 16_384, MOST_OPEN = 32, LONGEST_METHOD = 64;
  private static final long MOST_NUMBER = 0xffff_ffffL;

  /**
   * How long a client has to read its last answers once they are written, and how long the writing
   * may take.
   */
  private static final long LINGER_MILLIS = 300, FLUSH_MILLIS = 2000;

  private static final long LINGER_NANOS = LINGER_MILLIS * 1_000_000;
  private static final byte NO_FIELDS = (byte) 0x80;
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(128);

  /** What becomes of a connection, in this order; it may skip some, and never goes back. */
  private enum State {
    /** Requests are read and answered. */
    OPEN(true),
    /**
     * The protocol is broken: nothing more is read, and what was read with that gets an error each.
     */
    FAILING(true),
    /** Nothing more is read or owed; the answers are being written. */
    FLUSHING(false),
    /** They are written, and the client has heard of the end; it is given time to read them. */
    HALF_CLOSED(false),
    CLOSED(false);

    private final boolean answers;

    State(boolean answers) {
      this.answers = answers;
    }
  }

  private final NetSocket socket;
  private final ClientHandler handler;
  private final LongSupplier clock;
  private final MessageReader reader = new MessageReader(LONGEST, this);
  private final Set<Long> open = new HashSet<>();
  private final WriteBufferAccounting queues;
  long unread;
  private long heardAt;
  private boolean known, asked, broken, reading, answered, rejects, begun;
  private long answeredAt;
  private State state = State.OPEN;

  public ClientConnection(
      NetSocket socket, WriteBufferAccounting queues, LongSupplier clock, ClientHandler handler) {
    this.socket = socket;
    this.queues = queues;
    this.clock = clock;
    this.handler = handler;
    heardAt = clock.getAsLong();
    socket.handler(
        bytes -> {
          if (state.answers) {
            read(bytes);
          }
        });
    socket.exceptionHandler(e -> {}); // The close that follows says it all.
    socket.closeHandler(v -> enter(State.CLOSED));
  }

  private void read(Buffer bytes) {
    boolean begins = !reader.midway();
    reading = true;
    reader.handle(bytes);
    reading = false;
    heardAt = known && (begins || !reader.midway()) ? clock.getAsLong() : heardAt;
    if (state
        == State
            .FAILING) { // Guards the requests that were read with what can't be used: each has its
      // error now.
      letGo();
    }
  }

  /** Whether a message has begun and not come whole. */
  public boolean midway() {
    return reader.midway();
  }

  /** Whether a whole message is owed: the first, or the rest of one that has begun. */
  public boolean owes() {
    return !known || reader.midway();
  }

  /** How useful it has been: nothing yet, no GET yet, or GETs. */
  public int use() {
    return owes() ? 0 : asked ? 2 : 1;
  }

  /** Whether nothing is open on it. */
  public boolean isFree() {
    return open.isEmpty();
  }

  /** Since when it is owed, or else when it last said something. */
  public long heardAt() {
    return heardAt;
  }

  @Override
  public boolean message(byte[] bytes, int start, int end) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes, start, end - start)) {
      int size = in.unpackArrayHeader();
      int type = in.unpackInt();
      if (type == REQUEST && size == 4) {
        request(in, in.unpackLong());
      } else if (type == NOTIFICATION && size == 3) {
        notification(in);
      } else {
        throw new IOException("no message of type " + type + " and " + size + " elements");
      }
      known = true;
      begun = false;
    } catch (IOException | RuntimeException e) {
      unreadable(e.getMessage() == null ? e.toString() : e.getMessage());
    }
    return state.answers;
  }

  /** From now on each request is rejected, but for one of which a part has come already. */
  public void reject() {
    rejects = true;
    begun = reader.midway();
  }

  private void request(MessageUnpacker in, long number) throws IOException {
    if (number < 0 || number > MOST_NUMBER || !open.add(number)) {
      throw new IOException("message id " + number + " is none or open already");
    }
    if (open.size() > MOST_OPEN) {
      errored(number, "more than " + MOST_OPEN + " requests are open");
      throw new IOException("message id " + number + " is one too many");
    }
    if (broken) {
      errored(number, "the protocol was broken on this connection");
      return;
    }
    try {
      int length =
          in.getNextFormat().getValueType() == ValueType.STRING ? in.unpackRawStringHeader() : -1;
      if (length < 0 || length > LONGEST_METHOD) {
        throw new Unusable("method: not a string of up to " + LONGEST_METHOD + " bytes");
      }
      String method = new String(in.readPayload(length), StandardCharsets.UTF_8);
      int params =
          in.getNextFormat().getValueType() == ValueType.ARRAY ? in.unpackArrayHeader() : 0;
      if (method.equals("status")) {
        open.remove(number);
        send(
            answer(
                number,
                packer ->
                    packer
                        .packNil()
                        .packArrayHeader(2)
                        .packBoolean(handler.ready())
                        .packMapHeader(0)));
        return;
      }
      if ((rejects && !begun)
          || !handler.takes()) { // Guards what was taken against what can't be borne beside it.
        asked = true;
        shed(number, handler.away());
        return;
      }
      if (params < 1 || params > 2) {
        throw new Unusable("not fields and a body");
      }
      DecodedRequest get = RequestFields.read(method, in, params > 1);
      asked = true;
      handler.get(this, number, get);
    } catch (Unusable e) {
      refuse(number, e.getMessage());
    }
  }

  /**
   * Guards against a client that breaks the protocol: an error, and nothing more is returned to it.
   */
  public void refuse(long number, String why) {
    errored(number, why);
    broken = true;
    asked = false;
    handler.broken(this, why);
  }

  private void notification(MessageUnpacker in) throws IOException {
    String method = in.unpackString();
    if (method.equals("withdraw")
        && in.unpackArrayHeader() > 0
        && in.getNextFormat().getValueType() == ValueType.INTEGER) {
      long number = in.unpackLong();
      if (open.remove(number)) {
        handler.withdrawn(this, number);
      }
    }
  }

  @Override
  public void unreadable(String why) {
    if (state == State.OPEN) {
      broken = true;
      enter(State.FAILING);
      stopReading();
      handler.broken(this, why);
      if (!reading) {
        letGo();
      }
    }
  }

  /** It leaves its answers unread: the memory that they take is needed at once. */
  void abandon(String why) {
    if (state.answers) {
      handler.broken(this, why);
    }
    close();
  }

  /** The bytes of a part, as they came. */
  public void returned(long number, Buffer body) {
    if (open.remove(number)) {
      send(
          answer(
                  number,
                  packer -> packer.packNil().packArrayHeader(2).packBinaryHeader(body.length()))
              .appendBuffer(body)
              .appendByte(NO_FIELDS));
    }
  }

  /** The client's own copy is the one. */
  public void returnedSame(long number) {
    if (open.remove(number)) {
      send(
          answer(
              number,
              packer ->
                  packer
                      .packNil()
                      .packArrayHeader(2)
                      .packBinaryHeader(0)
                      .packMapHeader(1)
                      .packString("valid")
                      .packString("1")));
    }
  }

  /** Not run; wait is in nanoseconds, 0 for no advice. */
  public void shed(long number, long wait) {
    error(
        number,
        "Overloaded",
        "cooldown",
        wait > 0 ? Long.toString((wait + 999_999) / 1_000_000) : null);
  }

  public void errored(long number, String why) {
    error(number, "Internal", "why", why);
  }

  private void error(long number, String code, String key, String value) {
    if (open.remove(number)) {
      send(
          answer(
              number,
              packer -> {
                packer.packArrayHeader(2).packString(code).packMapHeader(value == null ? 0 : 1);
                if (value != null) {
                  packer.packString(key).packString(value);
                }
                packer.packNil();
              }));
    }
  }

  interface Rest {
    void pack(MessageBufferPacker packer) throws IOException;
  }

  static Buffer answer(long number, Rest rest) {
    try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
      packer.packArrayHeader(4).packInt(RESPONSE).packLong(number);
      rest.pack(packer);
      return Buffer.buffer(packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void send(Buffer answer) {
    heardAt = known && !reader.midway() ? clock.getAsLong() : heardAt;
    if (state.answers) {
      queues.add(this, answer.length()); // First: a write may be done at once.
      if (state.answers) {
        answered = true;
        socket.write(answer).onComplete(done -> written(answer.length()));
      } else {
        written(answer.length());
      }
    }
  }

  private void written(long bytes) {
    queues.read(this, bytes);
    answeredAt = clock.getAsLong();
    halfClose();
  }

  /** Whether all that it was answered has been written. */
  public boolean isWritten() {
    return unread == 0;
  }

  /**
   * Whether its client has had time to read all that it was answered: a close takes no answer with
   * it.
   */
  public boolean isSettled() {
    return unread == 0 && (!answered || clock.getAsLong() - answeredAt > LINGER_NANOS);
  }

  /** Lets go of it, at once where no answer can still be on its way. */
  public void letGo() {
    if (isSettled()) { // Guards the CPU and the descriptors: who has had no answer is not waited
      // for.
      close();
    } else {
      end();
    }
  }

  /**
   * Ends it in order: nothing more is read, what was answered goes out, the client hears of the end
   * and has a bounded time to read. What it sends meanwhile stays unread, so that it may be sent
   * again elsewhere. Guards answers on their way: a close over bytes that nobody read resets the
   * connection, and takes with it what the client has not read.
   */
  public void end() {
    if (state.answers) {
      stopReading();
      enter(State.FLUSHING);
      halfClose();
      if (state == State.FLUSHING) {
        closeIn(FLUSH_MILLIS);
      }
    }
  }

  /**
   * Guards requests that could get no answer any more, and the CPU: bytes stay with the kernel,
   * also the rest of a read that is under way, and a connection that is not asked about wakes
   * nobody. Vert.x's own pause reads on and queues.
   */
  private void stopReading() {
    channel().channel().config().setAutoRead(false);
  }

  private void halfClose() {
    if (state == State.FLUSHING && unread == 0) {
      enter(State.HALF_CLOSED);
      ((DuplexChannel) channel().channel()).shutdownOutput();
      closeIn(LINGER_MILLIS);
    }
  }

  private void closeIn(long millis) {
    channel().executor().schedule(this::close, millis, TimeUnit.MILLISECONDS);
  }

  private ChannelHandlerContext channel() {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }

  /** Lets go of it at once, whatever the client has not read. */
  public void close() {
    // Guards against a peer that does not read: a plain close would wait until it has.
    channel().close();
    enter(State.CLOSED);
  }

  private void enter(State next) {
    State from = state;
    if (next.compareTo(from) <= 0) {
      return;
    }
    state = next;
    if (from.answers && !next.answers) {
      open.clear();
      handler.closed(this);
    }
    if (next == State.CLOSED) {
      handler.released(this);
    }
  }

  @Override
  public String toString() {
    return "client " + socket.remoteAddress();
  }

  /** A request that is read but can't be used; the message says what is wrong. */
  static final class Unusable extends Exception {
    private static final long serialVersionUID = 1;

    Unusable(String why) {
      super(why);
    }
  }

  static String ascii(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }
}
