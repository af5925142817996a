package org.amberpath.gateway.client;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Arrays;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Splits a byte stream into complete MessagePack values, independently of how TCP segmented it.
 * Confined to one event loop.
 */
public final class MessageReader implements Handler<Buffer> {
  private static final int MAX_VALUES = 512;
  private static final int INITIAL_BUFFER_BYTES = 1024;

  /** A buffer larger than this is replaced by a smaller one once its messages are consumed. */
  private static final int MAX_RETAINED_BUFFER_BYTES = 16_384;

  /** Receives the values of a stream, and its protocol error if there is one. */
  public interface Sink {
    /**
     * Called with each complete value.
     *
     * @param bytes a shared array, valid during the call only
     * @param start offset of the first byte of the value
     * @param end offset after the last byte of the value
     * @return whether to continue with further values; if false, the reader ignores all further
     *     input
     */
    boolean onMessage(byte[] bytes, int start, int end);

    /** Called when the stream violates the protocol; the reader ignores all further input. */
    void onProtocolError(String reason);
  }

  private final int maxMessageBytes;
  private final Sink sink;
  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int size;
  private boolean ended;

  /**
   * Creates a reader of one stream.
   *
   * @param maxMessageBytes maximum length of one value in bytes
   */
  public MessageReader(int maxMessageBytes, Sink sink) {
    this.maxMessageBytes = maxMessageBytes;
    this.sink = sink;
  }

  /** Returns whether the last value has been received only in part. */
  boolean hasPartialMessage() {
    return size > 0;
  }

  /** Appends received bytes and passes each value that is now complete to the sink. */
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

  /** Returns the offset after the value at {@code start}, or {@code start} if it is incomplete. */
  private int endOfValue(int start) throws IOException {
    MessageUnpacker in = MessagePack.newDefaultUnpacker(buffer, start, size - start);
    long remaining = 1;
    try {
      // The bound on values guards against deep nesting, and against messages of many values that
      // are received byte by byte and parsed again after each read.
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
   * Skips a payload. Rejects a length above the maximum as soon as its header is read, so that the
   * oversized payload is never buffered.
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
