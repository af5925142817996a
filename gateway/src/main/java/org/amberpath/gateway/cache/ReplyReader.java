package org.amberpath.gateway.cache;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.List;

/** Reads RESP arrays of bulk strings. */
public final class ReplyReader implements Handler<Buffer> {
  private static final int ELEMENTS = 16, LINE = 32, DIGITS = 10;
  private static final byte[] END = {'\r', '\n'};

  /** Takes what was read, or why nothing more will be. */
  public interface Sink {
    void reply(List<Buffer> elements);

    void unreadable(String why);
  }

  private final Sink sink;
  private final int longest;
  private final RecordParser parser = RecordParser.newDelimited("\r\n");
  private List<Buffer> elements = new ArrayList<>(4);
  private int missing;
  private boolean inBulk, ended;

  /** Bytes that came and are no whole line or string yet. */
  private long pending;

  /** A bulk string may hold longest bytes. */
  public ReplyReader(int longest, Sink sink) {
    this.longest = longest;
    this.sink = sink;
    parser.maxRecordSize(LINE);
    parser.handler(this::record);
    parser.exceptionHandler(e -> fail(e.getMessage()));
  }

  /** Whether a part of an answer has come, and the rest has not. */
  boolean midway() {
    return missing > 0 || pending > 0;
  }

  @Override
  public void handle(Buffer came) {
    if (!ended) {
      pending += came.length();
      parser.handle(came);
    }
  }

  private void record(Buffer record) {
    if (ended) {
      return;
    }
    pending -= record.length() + (inBulk ? 0 : END.length);
    if (inBulk) {
      int length = record.length() - 2;
      if (record.getByte(length) != '\r' || record.getByte(length + 1) != '\n') {
        fail("a bulk string does not end where it should");
        return;
      }
      inBulk = false;
      parser.delimitedMode(Buffer.buffer(END));
      parser.maxRecordSize(LINE); // Guards against a line that never ends.
      element(record.slice(0, length));
    } else if (missing == 0) {
      missing = length(record, '*', ELEMENTS);
      if (missing == 0) {
        fail("an empty array");
      }
    } else {
      int length = length(record, '$', longest);
      if (!ended) {
        inBulk = true;
        parser.maxRecordSize(length + 2 + LINE);
        parser.fixedSizeMode(length + 2);
      }
    }
  }

  private void element(Buffer bytes) {
    elements.add(bytes);
    if (--missing == 0) {
      List<Buffer> whole = elements;
      elements = new ArrayList<>(4);
      sink.reply(whole);
    }
  }

  private int length(Buffer line, char kind, int most) {
    int length =
        line.length() > 1 && line.length() < DIGITS && line.getByte(0) == kind ? 0 : most + 1;
    for (int at = 1; at < line.length() && length <= most; at++) {
      int digit = line.getByte(at) - '0';
      length = digit >= 0 && digit <= 9 ? 10 * length + digit : most + 1;
    }
    if (length <= most) {
      return length;
    }
    fail("not '" + kind + "' and a length up to " + most);
    return 0;
  }

  private void fail(String why) {
    if (!ended) {
      ended = true;
      sink.unreadable(why);
    }
  }
}
