package org.amberpath.gateway.client;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Arrays;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Frames a TCP stream into complete MessagePack values, wherever it was split or merged. Used on
 * one event loop.
 */
public final class MessageReader implements Handler<Buffer> {
  private static final int MAX_VALUES = 512;
  private static final int INITIAL_BUFFER_BYTES = 1024;

  /** A buffer that has grown past this is not kept between messages. */
  private static final int MAX_RETAINED_BUFFER_BYTES = 16_384;

  /** Receives complete values, or the reason why no further one will be read. */
  public interface Sink {
    /**
     * A complete value.
     *
     * @param bytes a shared array, valid during the call only
     * @param start offset of the value's first byte
     * @param end offset behind its last byte
     * @return whether further values are to be read
     */
    boolean onMessage(byte[] bytes, int start, int end);

    /** The stream violates the protocol; nothing more is read from it. */
    void onProtocolError(String reason);
  }

  private final int maxMessageBytes;
  private final Sink sink;
  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int size;
  private boolean ended;

  /**
   * A reader of one stream.
   *
   * @param maxMessageBytes the longest value that is accepted
   */
  public MessageReader(int maxMessageBytes, Sink sink) {
    this.maxMessageBytes = maxMessageBytes;
    this.sink = sink;
  }

  /** Whether a message has been received in part. */
  boolean hasPartialMessage() {
    return size > 0;
  }

  /** Appends what was read and hands over each value that is complete. */
  @Override
  public void handle(Buffer received) {
    if (ended) {
      return;
    }
    append(received);
    int start = 0;
    try {
      for (int end = endOfValue(start); end > start; end = endOfValue(start)) {
        if (!sink.onMessage(buffer, start, end)) {
          end();
          return;
        }
        start = end;
      }
    } catch (IOException | RuntimeException e) {
      end();
      sink.onProtocolError(ProtocolException.reasonOf(e));
      return;
    }
    discard(start);
  }

  private void append(Buffer received) {
    int needed = size + received.length();
    if (buffer.length < needed) {
      buffer = Arrays.copyOf(buffer, Math.max(needed, Math.min(2 * size, maxMessageBytes)));
    }
    received.getBytes(0, received.length(), buffer, size);
    size = needed;
  }

  private void discard(int consumed) {
    size -= consumed;
    byte[] from = buffer;
    if (size <= MAX_RETAINED_BUFFER_BYTES && buffer.length > MAX_RETAINED_BUFFER_BYTES) {
      buffer = new byte[Math.max(size, INITIAL_BUFFER_BYTES)];
    }
    System.arraycopy(from, consumed, buffer, 0, size);
  }

  private void end() {
    ended = true;
    size = 0;
    buffer = null;
  }

  /** The offset behind the value at start; start itself if the value is incomplete. */
  private int endOfValue(int start) throws IOException {
    MessageUnpacker in = MessagePack.newDefaultUnpacker(buffer, start, size - start);
    long remaining = 1;
    try {
      // Guards against deep nesting, and against many values that are received byte by byte and
      // parsed again each time.
      for (int values = 0; remaining > 0; values++, remaining--) {
        if (values == MAX_VALUES) {
          throw tooManyValues();
        }
        switch (in.getNextFormat().getValueType()) {
          case ARRAY -> remaining += checkedCount(in.unpackArrayHeader());
          case MAP -> remaining += 2L * checkedCount(in.unpackMapHeader());
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
   * Guards against lengths that no client sends: they are rejected when they are declared, not when
   * the bytes have been received.
   */
  private void skip(MessageUnpacker in, int length) throws IOException {
    if (length < 0 || length + in.getTotalReadBytes() > maxMessageBytes) {
      throw new ProtocolException("message longer than " + maxMessageBytes + " bytes");
    }
    in.readPayloadAsReference(length);
  }

  private static int checkedCount(int declared) throws ProtocolException {
    if (declared < 0 || declared > MAX_VALUES) {
      throw tooManyValues();
    }
    return declared;
  }

  private static ProtocolException tooManyValues() {
    return new ProtocolException("message of more than " + MAX_VALUES + " values");
  }
}
