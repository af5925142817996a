package amberpath.msgpack;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Arrays;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Cuts what TCP brings into whole MessagePack values, wherever it was split or merged. */
final class MessageReader implements Handler<Buffer> {
  /** Takes one whole value; the array is shared, the value lies from start to end. */
  interface Sink {
    /** Returns false when nothing more is wanted. */
    boolean message(byte[] bytes, int start, int end);

    void unreadable(String why);
  }

  private final int longest;
  private final Sink sink;
  private byte[] held = {};
  private int wanted = 1;
  private boolean ended;

  MessageReader(int longest, Sink sink) {
    this.longest = longest;
    this.sink = sink;
  }

  @Override public void handle(Buffer came) {
    if (ended) {
      return;
    }
    int start = 0;
    byte[] bytes = came.getBytes();
    if (held.length > 0) {
      int before = held.length;
      held = Arrays.copyOf(held, before + bytes.length);
      System.arraycopy(bytes, 0, held, before, bytes.length);
      bytes = held;
    }
    try {
      while (start < bytes.length && bytes.length - start >= wanted) {
        int end = end(bytes, start);
        if (end < 0) {
          break;
        }
        wanted = 1;
        if (!sink.message(bytes, start, end)) {
          ended = true;
          return;
        }
        start = end;
      }
      held = start == bytes.length ? new byte[0] : Arrays.copyOfRange(bytes, start, bytes.length);
      if (held.length > longest) {
        throw new IOException("message longer than " + longest + " bytes");
      }
    } catch (IOException | RuntimeException e) {
      ended = true;
      held = new byte[0];
      sink.unreadable(e.getMessage() == null ? e.toString() : e.getMessage());
    }
  }

  /** Where the value ends, or -1 if it has not come whole. */
  private int end(byte[] bytes, int start) throws IOException {
    MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, start, bytes.length - start);
    try {
      unpacker.skipValue();
      return start + (int) unpacker.getTotalReadBytes();
    } catch (MessageInsufficientBufferException e) {
      // Guards against a message that comes byte by byte: it is read anew only after it has grown by a part.
      wanted = bytes.length - start + Math.max(1, (bytes.length - start) / 1024);
      return -1;
    }
  }
}
