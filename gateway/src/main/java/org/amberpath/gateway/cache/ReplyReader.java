package org.amberpath.gateway.cache;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.List;
import org.amberpath.gateway.transport.ReceivedText;

/** Parses a stream of RESP arrays of bulk strings. Confined to one event loop. */
public final class ReplyReader implements Handler<Buffer> {
  private static final int MAX_ELEMENTS = 16;
  private static final int EXPECTED_ELEMENTS = 4;
  private static final int MAX_HEADER_BYTES = 32;

  /** Headers of this length or more are invalid: a type character and the digits are shorter. */
  private static final int HEADER_LENGTH_LIMIT = 10;

  private static final String LINE_END = "\r\n";
  private static final int LINE_END_BYTES = 2;
  private static final char ARRAY_TYPE = '*';
  private static final char BULK_TYPE = '$';
  private static final int DECIMAL_RADIX = 10;

  /** The kind of record that is expected next. */
  private enum State {
    ARRAY_HEADER,
    BULK_HEADER,
    BULK_STRING,
    /** The stream violated the protocol; nothing more is parsed. */
    FAILED
  }

  /** Receives the replies of a stream, and its protocol error if there is one. */
  public interface Sink {
    /** Called with the elements of each complete array, of which there is at least one. */
    void onReply(List<Buffer> elements);

    /** Called when the stream violates the protocol; the reader ignores all further input. */
    void onProtocolError(String reason);
  }

  private final Sink sink;
  private final int maxStringBytes;
  private final RecordParser parser = RecordParser.newDelimited(LINE_END);
  private List<Buffer> elements = new ArrayList<>(EXPECTED_ELEMENTS);
  private int remainingElements;
  private State state = State.ARRAY_HEADER;

  /** Number of received bytes that do not form a complete header line or bulk string yet. */
  private long pendingBytes;

  /** Number of bytes of the elements that the partial reply has so far. */
  private long elementBytes;

  /**
   * Creates a reader of one stream.
   *
   * @param maxStringBytes maximum length of one bulk string in bytes
   */
  public ReplyReader(int maxStringBytes, Sink sink) {
    this.maxStringBytes = maxStringBytes;
    this.sink = sink;
    parser.maxRecordSize(MAX_HEADER_BYTES);
    parser.handler(this::handleRecord);
    parser.exceptionHandler(
        e ->
            fail(
                headerName()
                    + ": got no line end within "
                    + MAX_HEADER_BYTES
                    + " bytes, expected a type and a length ("
                    + e.getMessage()
                    + ")"));
  }

  /** Returns whether the last reply has been received only in part. */
  boolean hasPartialReply() {
    return remainingElements > 0 || pendingBytes > 0;
  }

  /** Returns the number of bytes of the last reply, if it has been received only in part. */
  long partialReplyBytes() {
    return elementBytes + pendingBytes;
  }

  /** Parses received bytes and passes each reply that is now complete to the sink. */
  @Override
  public void handle(Buffer received) {
    if (state != State.FAILED) {
      pendingBytes += received.length();
      parser.handle(received);
    }
  }

  private void handleRecord(Buffer record) {
    try {
      switch (state) {
        case ARRAY_HEADER -> readArrayHeader(record);
        case BULK_HEADER -> readBulkHeader(record);
        case BULK_STRING -> readBulkString(record);
        default -> {}
      }
    } catch (InvalidReplyException e) {
      fail(e.getMessage());
    }
  }

  private void readArrayHeader(Buffer line) throws InvalidReplyException {
    pendingBytes -= line.length() + LINE_END_BYTES;
    remainingElements = parseLength(line, ARRAY_TYPE, 1, MAX_ELEMENTS);
    state = State.BULK_HEADER;
  }

  private void readBulkHeader(Buffer line) throws InvalidReplyException {
    pendingBytes -= line.length() + LINE_END_BYTES;
    int length = parseLength(line, BULK_TYPE, 0, maxStringBytes);
    state = State.BULK_STRING;
    parser.maxRecordSize(length + LINE_END_BYTES + MAX_HEADER_BYTES);
    parser.fixedSizeMode(length + LINE_END_BYTES);
  }

  private void readBulkString(Buffer record) throws InvalidReplyException {
    pendingBytes -= record.length();
    int length = record.length() - LINE_END_BYTES;
    if (record.getByte(length) != '\r' || record.getByte(length + 1) != '\n') {
      throw new InvalidReplyException(
          elementName()
              + ": got "
              + ReceivedText.quote(record.getBytes(length, record.length()))
              + " after "
              + length
              + " bytes, expected CR LF");
    }
    parser.delimitedMode(LINE_END);
    parser.maxRecordSize(MAX_HEADER_BYTES); // Bounds a header line without end.
    elements.add(record.slice(0, length));
    elementBytes += length;
    remainingElements--;
    if (remainingElements > 0) {
      state = State.BULK_HEADER;
      return;
    }
    state = State.ARRAY_HEADER;
    List<Buffer> complete = elements;
    elements = new ArrayList<>(EXPECTED_ELEMENTS);
    elementBytes = 0;
    sink.onReply(complete);
  }

  private int parseLength(Buffer line, char type, int min, int max) throws InvalidReplyException {
    boolean valid =
        line.length() > 1 && line.length() < HEADER_LENGTH_LIMIT && line.getByte(0) == type;
    int length = 0;
    for (int index = 1; valid && index < line.length(); index++) {
      int digit = line.getByte(index) - '0';
      length = DECIMAL_RADIX * length + digit;
      valid = digit >= 0 && digit < DECIMAL_RADIX && length <= max;
    }
    if (!valid || length < min) {
      throw invalidHeader(line, type, min, max);
    }
    return length;
  }

  private InvalidReplyException invalidHeader(Buffer line, char type, int min, int max) {
    return new InvalidReplyException(
        headerName()
            + ": got "
            + ReceivedText.quote(line.getBytes())
            + ", expected '"
            + type
            + "' and a length from "
            + min
            + " to "
            + max);
  }

  private String headerName() {
    return state == State.ARRAY_HEADER ? "reply: array header" : elementName() + ": header";
  }

  /** Names the element that is being read, counted from 1. */
  private String elementName() {
    int count = elements.size() + remainingElements;
    return "reply: element " + (elements.size() + 1) + " of " + count;
  }

  private void fail(String reason) {
    if (state != State.FAILED) {
      state = State.FAILED;
      sink.onProtocolError(reason);
    }
  }
}
