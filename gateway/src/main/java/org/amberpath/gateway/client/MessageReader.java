package org.amberpath.gateway.client;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Arrays;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Cuts what TCP brings into whole MessagePack values, wherever it was split or merged. */
public final class MessageReader implements Handler<Buffer> {
  private static final int MOST_VALUES = 512, KEPT = 16_384;

  /** Takes one whole value, which lies from start to end of a shared array. */
  public interface Sink {
    /** Returns false when nothing more is wanted. */
    boolean message(byte[] bytes, int start, int end);

    void unreadable(String why);
  }

  private final int longest;
  private final Sink sink;
  private byte[] held = new byte[1024];
  private int size;
  private boolean ended;

  /** A value may hold longest bytes. */
  public MessageReader(int longest, Sink sink) {
    this.longest = longest;
    this.sink = sink;
  }

  /** Whether a message has begun and not come whole. */
  boolean midway() {
    return size > 0;
  }

  @Override
  public void handle(Buffer came) {
    if (ended) {
      return;
    }
    if (held.length < size + came.length()) {
      held = Arrays.copyOf(held, Math.max(size + came.length(), Math.min(2 * size, longest)));
    }
    came.getBytes(0, came.length(), held, size);
    size += came.length();
    int start = 0;
    try {
      for (int end = end(start); end > start; end = end(start)) {
        if (!sink.message(held, start, end)) {
          end();
          return;
        }
        start = end;
      }
    } catch (IOException | RuntimeException e) {
      end();
      sink.unreadable(e.getMessage() == null ? e.toString() : e.getMessage());
      return;
    }
    size -= start;
    byte[] from = held;
    held = size <= KEPT && held.length > KEPT ? new byte[Math.max(size, 1024)] : held;
    System.arraycopy(from, start, held, 0, size);
  }

  private void end() {
    ended = true;
    size = 0;
    held = null;
  }

  /** Where the value at start ends; start if it has not come whole. */
  private int end(int start) throws IOException {
    MessageUnpacker in = MessagePack.newDefaultUnpacker(held, start, size - start);
    long left = 1;
    try {
      // Guards against deep nesting, and against many values that come byte by byte and are read
      // anew each time.
      for (int values = 0; left > 0; values++, left--) {
        if (values == MOST_VALUES) {
          throw new IOException("message of more than " + MOST_VALUES + " values");
        }
        switch (in.getNextFormat().getValueType()) {
          case ARRAY -> left += values(in.unpackArrayHeader());
          case MAP -> left += 2L * values(in.unpackMapHeader());
          case STRING -> skip(in, in.unpackRawStringHeader());
          case BINARY -> skip(in, in.unpackBinaryHeader());
          case EXTENSION -> skip(in, in.unpackExtensionTypeHeader().getLength());
          default -> in.skipValue();
        }
      }
      return start + (int) in.getTotalReadBytes();
    } catch (MessageInsufficientBufferException e) {
      return start;
    }
  }

  /**
   * Guards against lengths that no client sends: they are refused when they are told, not when the
   * bytes have come.
   */
  private void skip(MessageUnpacker in, int length) throws IOException {
    if (length < 0 || length + in.getTotalReadBytes() > longest) {
      throw new IOException("message longer than " + longest + " bytes");
    }
    in.readPayloadAsReference(length);
  }

  private static int values(int told) throws IOException {
    if (told < 0 || told > MOST_VALUES) {
      throw new IOException("message of more than " + MOST_VALUES + " values");
    }
    return told;
  }
}
