package org.amberpath.gateway.cache;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.amberpath.routing.RoutingEvents.Note;
import org.amberpath.routing.RoutingEvents.Outcome;

/**
 * One forward on its way to a cache. The subclass is told how it ended, once, unless it was given
 * up.
 */
public abstract class CacheCommand {
  final String key;
  private final byte[] id;
  private final byte[] fields;
  private final String known;
  private final byte[] body;
  private final long until;
  private final List<? extends CacheCommand> siblings;
  CacheConnection on;
  long writtenAt;

  /**
   * A forward.
   *
   * @param id the request's id, which its siblings share
   * @param fields the list without the time that is left
   * @param known the tag of the copy that the client holds, which stands in the fields too; empty
   *     for none
   * @param body the body as it came
   * @param until clock time until which the answer is waited for
   * @param siblings all forwards of the request
   */
  protected CacheCommand(
      byte[] id,
      byte[] fields,
      byte[] known,
      byte[] body,
      long until,
      List<? extends CacheCommand> siblings) {
    this.key = new String(id, StandardCharsets.ISO_8859_1);
    this.id = id;
    this.fields = fields;
    this.known = new String(known, StandardCharsets.ISO_8859_1);
    this.body = body;
    this.until = until;
    this.siblings = siblings;
  }

  /**
   * How it ended; body is null unless the bytes were returned (null too when the client's copy is
   * the one).
   */
  protected abstract void ended(Outcome outcome, Note note, Buffer body);

  /**
   * Whether it may not begin any more: its GET is over, or the time in which it might be sent is.
   */
  protected boolean isOver(long now) {
    return false;
  }

  /** Whether any of it may have reached the cache. */
  public final boolean isWritten() {
    return on != null;
  }

  /**
   * Whether what is returned is a copy, which has a tag and a time; what is never kept has neither.
   */
  protected boolean asksForCopy() {
    return true;
  }

  /** Whether the client holds the copy of this tag. */
  boolean isKnown(String tag) {
    return !tag.isEmpty() && tag.equals(known);
  }

  /** Guards against an answer to one forward that is taken for its sibling's: they share an id. */
  boolean mayUse(CacheConnection connection) {
    return siblings.stream().noneMatch(one -> one.on == connection);
  }

  Buffer encode(long now) {
    Buffer out = Buffer.buffer(fields.length + body.length + 96);
    out.appendString("*4\r\n$4\r\nwant\r\n");
    bulk(out, id);
    byte[] left =
        ("ms=" + Math.max(1, (until - now + 999_999) / 1_000_000) + ",")
            .getBytes(StandardCharsets.ISO_8859_1);
    out.appendString("$" + (left.length + fields.length) + "\r\n")
        .appendBytes(left)
        .appendBytes(fields);
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
