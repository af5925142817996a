package amberpath.resp;

import amberpath.Arrivals.Note;
import amberpath.Arrivals.Outcome;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/** One forward on its way to a cache. The subclass is told how it ended, once, unless it was given up. */
public abstract class Want {
  final String key;
  private final byte[] id;
  private final byte[] fields;
  private final byte[] body;
  private final long until;
  CacheConnection on;
  boolean written;

  /**
   * A forward.
   *
   * @param id the request's id; fields: the list without the time that is left; body: as it came
   * @param until clock time until which the answer is waited for
   */
  protected Want(byte[] id, byte[] fields, byte[] body, long until) {
    this.key = new String(id, StandardCharsets.ISO_8859_1);
    this.id = id;
    this.fields = fields;
    this.body = body;
    this.until = until;
  }

  /** How it ended; body is null unless the bytes were returned (null too when the client's copy is the one). */
  protected abstract void ended(Outcome outcome, Note note, Buffer body);

  /** Whether any of it may have reached the cache. */
  public final boolean isWritten() {
    return written;
  }

  Buffer encode(long now) {
    Buffer out = Buffer.buffer(fields.length + body.length + 96);
    out.appendString("*4\r\n$4\r\nwant\r\n");
    bulk(out, id);
    byte[] left = ("ms=" + Math.max(1, (until - now + 999_999) / 1_000_000) + ",")
        .getBytes(StandardCharsets.ISO_8859_1);
    out.appendString("$" + (left.length + fields.length) + "\r\n").appendBytes(left).appendBytes(fields);
    out.appendString("\r\n");
    bulk(out, body);
    return out;
  }

  Buffer encodeNeverMind() {
    return bulk(Buffer.buffer("*2\r\n$10\r\nnever_mind\r\n"), id);
  }

  private static Buffer bulk(Buffer out, byte[] bytes) {
    return out.appendString("$" + bytes.length + "\r\n").appendBytes(bytes).appendString("\r\n");
  }
}
