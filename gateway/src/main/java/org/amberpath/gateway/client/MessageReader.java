package org.amberpath.gateway.client;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Arrays;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;

/**
 * Splits a byte stream into complete MessagePack values, independently of how TCP segmented it. The
 * buffer of a value that is received in part can be released: its remaining bytes are then scanned
 * and discarded. Confined to one event loop.
 */
public final class MessageReader implements Handler<Buffer>, ReceiveBufferAccounting.Holder {
  /** A partial message in a buffer of at most this length is neither counted nor discarded. */
  static final int MAX_UNCOUNTED_BYTES = 1024;

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

    /**
     * Called when a value that has been received in part is going to be discarded, since partial
     * messages take too much memory.
     *
     * @param bytes its beginning; a shared array, valid during the call only
     * @param end offset after the last byte that was received
     */
    default void onDiscarding(byte[] bytes, int end) {}

    /**
     * Called when the last byte of a discarded value was received.
     *
     * @return as for {@link #onMessage}
     */
    default boolean onDiscarded() {
      return true;
    }

    /** Called when the stream violates the protocol; the reader ignores all further input. */
    void onProtocolError(String reason);
  }

  private final int maxMessageBytes;
  private final ReceiveBufferAccounting accounting;
  private final Sink sink;
  private final MessageScanner scanner;

  /** The bytes of a partial message; null if there are none. */
  private byte[] buffer;

  private int bufferedBytes;

  /** The number of buffered bytes that were scanned. */
  private int scannedBytes;

  /** Whether the value that is being received is discarded. */
  private boolean discarding;

  private boolean stopped;

  /**
   * Creates a reader of one stream.
   *
   * @param maxMessageBytes maximum length of one value in bytes
   * @param accounting bounds the memory of all readers that share it
   */
  public MessageReader(int maxMessageBytes, ReceiveBufferAccounting accounting, Sink sink) {
    this.maxMessageBytes = maxMessageBytes;
    this.accounting = accounting;
    this.sink = sink;
    scanner = new MessageScanner(maxMessageBytes);
  }

  /** Returns whether the last value has been received only in part. */
  boolean hasPartialMessage() {
    return discarding || bufferedBytes > 0;
  }

  /** Appends received bytes and passes each value that is now complete to the sink. */
  @Override
  public void handle(Buffer received) {
    if (stopped) {
      return;
    }
    append(received);
    try {
      int messageStart = readCompleteValues();
      if (!stopped) {
        keepFrom(messageStart);
        accounting.update(this, countedBytes());
      }
    } catch (IOException | RuntimeException e) {
      stop();
      sink.onProtocolError(ProtocolException.reasonOf(e));
    }
  }

  private void append(Buffer received) {
    if (bufferedBytes == 0) {
      buffer = received.getBytes();
      bufferedBytes = buffer.length;
      return;
    }
    int neededBytes = bufferedBytes + received.length();
    if (buffer.length < neededBytes) {
      buffer =
          Arrays.copyOf(
              buffer, Math.max(neededBytes, Math.min(2 * bufferedBytes, maxMessageBytes)));
    }
    received.getBytes(0, received.length(), buffer, bufferedBytes);
    bufferedBytes = neededBytes;
  }

  /** Returns the offset of the first byte that has to be kept. */
  private int readCompleteValues() throws IOException {
    int messageStart = 0;
    while (scannedBytes < bufferedBytes) {
      scannedBytes = scanner.scan(buffer, scannedBytes, bufferedBytes);
      if (!scanner.isComplete()) {
        return discarding ? scannedBytes : messageStart;
      }
      boolean wasDiscarding = discarding;
      discarding = false;
      scanner.reset();
      boolean isContinued =
          wasDiscarding ? sink.onDiscarded() : sink.onMessage(buffer, messageStart, scannedBytes);
      if (!isContinued) {
        stop();
      }
      if (stopped) {
        return 0;
      }
      messageStart = scannedBytes;
    }
    return messageStart;
  }

  private void keepFrom(int start) {
    if (start == bufferedBytes) {
      buffer = null;
    } else if (start > 0) {
      buffer = Arrays.copyOfRange(buffer, start, bufferedBytes);
    }
    bufferedBytes -= start;
    scannedBytes -= start;
  }

  private int countedBytes() {
    return buffer == null || buffer.length <= MAX_UNCOUNTED_BYTES ? 0 : buffer.length;
  }

  /** Discards the value that is being received. */
  @Override
  public void releaseBuffer() {
    discarding = true;
    byte[] beginning = buffer;
    int receivedBytes = bufferedBytes;
    keepFrom(scannedBytes);
    sink.onDiscarding(beginning, receivedBytes);
  }

  /** Ignores all further input and releases the buffer. */
  void stop() {
    stopped = true;
    discarding = false;
    bufferedBytes = 0;
    scannedBytes = 0;
    buffer = null;
    accounting.remove(this);
  }
}
