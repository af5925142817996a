package org.amberpath.gateway.client;

import java.io.IOException;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Finds the end of one MessagePack value whose bytes are received in pieces. Bytes that were
 * scanned need not be kept for the scan of those that follow.
 */
final class MessageScanner {
  private static final int MAX_VALUES = 512;

  private final int maxMessageBytes;

  /** Number of values, nested ones included, whose headers have not been scanned yet. */
  private long remainingValues;

  /** Number of bytes of the latest string, binary or extension that have not been scanned yet. */
  private int remainingPayloadBytes;

  private int scannedValues;
  private long scannedBytes;

  /**
   * Creates a scanner.
   *
   * @param maxMessageBytes maximum length of the value in bytes
   */
  MessageScanner(int maxMessageBytes) {
    this.maxMessageBytes = maxMessageBytes;
    reset();
  }

  /** Starts the scan of another value. */
  void reset() {
    remainingValues = 1;
    remainingPayloadBytes = 0;
    scannedValues = 0;
    scannedBytes = 0;
  }

  /** Returns whether the end of the value was found. */
  boolean isComplete() {
    return remainingValues == 0 && remainingPayloadBytes == 0;
  }

  /**
   * Scans from {@code start} to the end of the value, or as far as there are complete headers.
   *
   * @return the offset after the last byte that was scanned; the bytes that follow have to be
   *     passed again
   * @throws IOException if the value exceeds a bound
   */
  int scan(byte[] bytes, int start, int end) throws IOException {
    int position = start + scanPayload(end - start);
    MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, position, end - position);
    int headersStart = position;
    try {
      while (remainingPayloadBytes == 0 && remainingValues > 0) {
        scanValue(unpacker, end - headersStart);
        int scannedTo = Math.min(end, headersStart + (int) unpacker.getTotalReadBytes());
        scannedBytes += scannedTo - position;
        position = scannedTo;
      }
    } catch (MessageInsufficientBufferException e) {
      return position; // The rest of the header has not been received yet.
    }
    return position;
  }

  private int scanPayload(int availableBytes) {
    int count = Math.min(remainingPayloadBytes, availableBytes);
    remainingPayloadBytes -= count;
    scannedBytes += count;
    return count;
  }

  /** Scans one header and as much of the payload as was received. */
  private void scanValue(MessageUnpacker unpacker, int availableBytes) throws IOException {
    // The bound on values guards against deep nesting and against messages of many small values.
    if (scannedValues == MAX_VALUES) {
      throw tooManyValues();
    }
    long nestedValues = 0;
    int payloadBytes = 0;
    long before = unpacker.getTotalReadBytes();
    switch (unpacker.getNextFormat().getValueType()) {
      case ARRAY -> nestedValues = checkedCount(unpacker.unpackArrayHeader());
      case MAP -> nestedValues = 2L * checkedCount(unpacker.unpackMapHeader());
      case STRING -> payloadBytes = unpacker.unpackRawStringHeader();
      case BINARY -> payloadBytes = unpacker.unpackBinaryHeader();
      case EXTENSION -> payloadBytes = unpacker.unpackExtensionTypeHeader().getLength();
      default -> unpacker.skipValue();
    }
    long headerBytes = unpacker.getTotalReadBytes() - before;
    checkLength(payloadBytes, headerBytes);
    int receivedBytes = (int) Math.min(payloadBytes, availableBytes - unpacker.getTotalReadBytes());
    unpacker.readPayloadAsReference(receivedBytes);
    remainingPayloadBytes = payloadBytes - receivedBytes;
    remainingValues += nestedValues - 1;
    scannedValues++;
  }

  /**
   * Rejects a length above the maximum as soon as its header is read, so that the oversized payload
   * is never buffered.
   */
  private void checkLength(int payloadBytes, long headerBytes) throws ProtocolException {
    if (payloadBytes < 0 || scannedBytes + headerBytes + payloadBytes > maxMessageBytes) {
      throw new ProtocolException("message longer than " + maxMessageBytes + " bytes");
    }
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
