package amberpath.resp;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads RESP arrays of bulk strings. */
final class ReplyReader implements Handler<Buffer> {
  private static final int ELEMENTS = 16, LINE = 32;
  private static final byte[] END = {'\r', '\n'};

  interface Sink {
    void reply(List<Buffer> elements);

    void unreadable(String why);
  }

  private final Sink sink;
  private final int longest;
  private final RecordParser parser = RecordParser.newDelimited("\r\n");
  private List<Buffer> elements = new ArrayList<>(4);
  private int missing;
  private boolean inBulk, ended;

  ReplyReader(int longest, Sink sink) {
    this.longest = longest;
    this.sink = sink;
    parser.maxRecordSize(longest + LINE);
    parser.handler(this::record);
    parser.exceptionHandler(e -> fail(e.getMessage()));
  }

  @Override public void handle(Buffer came) {
    if (!ended) {
      parser.handle(came);
    }
  }

  private void record(Buffer record) {
    if (ended) {
      return;
    }
    if (inBulk) {
      int length = record.length() - 2;
      if (record.getByte(length) != '\r' || record.getByte(length + 1) != '\n') {
        fail("a bulk string does not end where it should");
        return;
      }
      inBulk = false;
      parser.delimitedMode(Buffer.buffer(END));
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
    try {
      if (line.length() > 1 && line.length() < LINE && line.getByte(0) == kind) {
        int length = Integer.parseInt(line.getString(1, line.length(), StandardCharsets.ISO_8859_1.name()));
        if (length >= 0 && length <= most) {
          return length;
        }
      }
    } catch (NumberFormatException e) {
      // Said below.
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
