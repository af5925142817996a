package amberpath.msgpack;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.logging.Logger;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** One client's connection: MessagePack-RPC requests in, answers out, in any order. */
public final class ClientConnection implements MessageReader.Sink {
  /** The longest body that clients send or get. */
  public static final int LONGEST_BODY = 240_000;

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
  private static final int REQUEST = 0, RESPONSE = 1, NOTIFICATION = 2;
  private static final int LONGEST = LONGEST_BODY + 16_384;

  private final NetSocket socket;
  private final ClientHandler handler;
  private final Set<Long> open = new HashSet<>();
  private final Unread queues;
  long unread;
  private boolean closed;

  public ClientConnection(NetSocket socket, Unread queues, ClientHandler handler) {
    this.socket = socket;
    this.queues = queues;
    this.handler = handler;
    socket.handler(new MessageReader(LONGEST, this));
    socket.exceptionHandler(e -> LOG.fine(() -> "client " + socket.remoteAddress() + ": " + e));
    socket.closeHandler(v -> gone());
  }

  @Override public boolean message(byte[] bytes, int start, int end) {
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
    } catch (IOException | RuntimeException e) {
      unreadable(e.getMessage() == null ? e.toString() : e.getMessage());
    }
    return !closed;
  }

  private void request(MessageUnpacker in, long number) throws IOException {
    if (!open.add(number)) {
      throw new IOException("message id " + number + " is open already");
    }
    String method = in.unpackString();
    int params = in.unpackArrayHeader();
    if (method.equals("status")) {
      open.remove(number);
      send(answer(number, packer -> packer.packNil().packArrayHeader(2).packBoolean(handler.ready())
          .packMapHeader(0)));
      return;
    }
    ClientGet get;
    try {
      if (params < 1) {
        throw new Unusable("no fields");
      }
      get = RequestFields.read(method, in, params > 1);
    } catch (Unusable e) {
      errored(number, e.getMessage());
      return;
    }
    handler.get(this, number, get);
  }

  private void notification(MessageUnpacker in) throws IOException {
    String method = in.unpackString();
    if (method.equals("withdraw") && in.unpackArrayHeader() > 0 && in.getNextFormat().getValueType()
        == ValueType.INTEGER) {
      long number = in.unpackLong();
      if (open.remove(number)) {
        handler.withdrawn(this, number);
      }
    }
  }

  @Override public void unreadable(String why) {
    if (!closed) {
      LOG.warning("client " + socket.remoteAddress() + ": closed: " + why);
      close();
    }
  }

  /** The bytes of a part, as they came. */
  public void returned(long number, Buffer body) {
    if (open.remove(number)) {
      Buffer head = answer(number, packer -> packer.packNil().packArrayHeader(2)
          .packBinaryHeader(body.length()));
      send(head, body, NO_FIELDS);
    }
  }

  private static final Buffer NO_FIELDS = Buffer.buffer(new byte[] {(byte) 0x80});

  /** The client's own copy is the one. */
  public void returnedSame(long number) {
    if (open.remove(number)) {
      send(answer(number, packer -> packer.packNil().packArrayHeader(2).packBinaryHeader(0).packMapHeader(1)
          .packString("valid").packString("1")));
    }
  }

  /** Not run; wait is in nanoseconds, 0 for no advice. */
  public void shed(long number, long wait) {
    error(number, "Overloaded", "cooldown", wait > 0 ? Long.toString((wait + 999_999) / 1_000_000) : null);
  }

  public void errored(long number, String why) {
    error(number, "Internal", "why", why);
  }

  private void error(long number, String code, String key, String value) {
    if (open.remove(number)) {
      send(answer(number, packer -> {
        packer.packArrayHeader(2).packString(code).packMapHeader(value == null ? 0 : 1);
        if (value != null) {
          packer.packString(key).packString(value);
        }
        packer.packNil();
      }));
    }
  }

  private interface Rest {
    void pack(MessageBufferPacker packer) throws IOException;
  }

  private static Buffer answer(long number, Rest rest) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(4).packInt(RESPONSE).packLong(number);
      rest.pack(packer);
      return Buffer.buffer(packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void send(Buffer... answer) {
    for (Buffer bytes : answer) {
      if (!closed) {
        socket.write(bytes).onComplete(done -> queues.read(this, bytes.length()));
        queues.add(this, bytes.length());
      }
    }
  }

  public void close() {
    // Guards against a peer that does not read: a plain close would wait until it has.
    ((NetSocketInternal) socket).channelHandlerContext().close();
    gone();
  }

  private void gone() {
    if (!closed) {
      closed = true;
      open.clear();
      handler.closed(this);
    }
  }

  @Override public String toString() {
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
