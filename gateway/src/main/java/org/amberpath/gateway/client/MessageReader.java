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
  private int bufferedBytes;
  private boolean stopped;

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
    return bufferedBytes > 0;
  }

  /** Appends received bytes and passes each value that is now complete to the sink. */
  @Override
  public void handle(Buffer received) {
    if (stopped) {
      return;
    }
    append(received);
    int start = 0;
    try {
      for (int end = endOfValue(start); end > start; end = endOfValue(start)) {
        if (!sink.onMessage(buffer, start, end)) {
          stop();
          return;
        }
        start = end;
      }
    } catch (IOException | RuntimeException e) {
      stop();
      sink.onProtocolError(ProtocolException.reasonOf(e));
      return;
    }
    discard(start);
  }

  private void append(Buffer received) {
    int neededBytes = bufferedBytes + received.length();
    if (buffer.length < neededBytes) {
      buffer =
          Arrays.copyOf(
              buffer, Math.max(neededBytes, Math.min(2 * bufferedBytes, maxMessageBytes)));
    }
    received.getBytes(0, received.length(), buffer, bufferedBytes);
    bufferedBytes = neededBytes;
  }

  private void discard(int consumedBytes) {
    bufferedBytes -= consumedBytes;
    byte[] oldBuffer = buffer;
    if (bufferedBytes <= MAX_RETAINED_BUFFER_BYTES && buffer.length > MAX_RETAINED_BUFFER_BYTES) {
      buffer = new byte[Math.max(bufferedBytes, INITIAL_BUFFER_BYTES)];
    }
    System.arraycopy(oldBuffer, consumedBytes, buffer, 0, bufferedBytes);
  }

  private void stop() {
    stopped = true;
    bufferedBytes = 0;
    buffer = null;
  }

  /** Returns the offset after the value at {@code start}, or {@code start} if it is incomplete. */
  private int endOfValue(int start) throws IOException {
    MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(buffer, start, bufferedBytes - start);
    long remainingValues = 1;
    try {
      // The bound on values guards against deep nesting, and against messages of many values that
      // are received byte by byte and parsed again after each read.
      for (int valueCount = 0; remainingValues > 0; valueCount++, remainingValues--) {
        if (valueCount == MAX_VALUES) {
          throw tooManyValues();
        }
        switch (unpacker.getNextFormat().getValueType()) {
          case ARRAY -> remainingValues += checkedCount(unpacker.unpackArrayHeader());
          case MAP -> remainingValues += 2L * checkedCount(unpacker.unpackMapHeader());
          case STRING -> skip(unpacker, unpacker.unpackRawStringHeader());
          case BINARY -> skip(unpacker, unpacker.unpackBinaryHeader());
          case EXTENSION -> skip(unpacker, unpacker.unpackExtensionTypeHeader().getLength());
          default -> unpacker.skipValue();
        }
      }
      return start + (int) unpacker.getTotalReadBytes();
    } catch (MessageInsufficientBufferException e) {
      return start;
    }
  }

  /**
   * Skips a payload. Rejects a length above the maximum as soon as its header is read, so that the
   * oversized payload is never buffered.
   */
  private void skip(MessageUnpacker unpacker, int length) throws IOException {
    if (length < 0 || length + unpacker.getTotalReadBytes() > maxMessageBytes) {
      throw new ProtocolException("message longer than " + maxMessageBytes + " bytes");
    }
    unpacker.readPayloadAsReference(length);
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
