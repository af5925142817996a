package org.amberpath.gateway.cache;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;

/**
 * One attempt on its way to a cache. The subclass is notified of its outcome, once, unless it was
 * cancelled. Used on the event loop of the pool.
 */
public abstract class CacheCommand {
  private static final int ENCODING_OVERHEAD_BYTES = 96;
  private static final long NANOS_PER_MILLI = 1_000_000;

  final String requestId;
  private final byte[] requestIdBytes;
  private final byte[] fields;
  private final String knownTag;
  private final byte[] body;
  private final long deadlineNanos;
  private final List<? extends CacheCommand> attempts;

  /** The connection that it was written to; null before that. */
  CacheConnection connection;

  long writtenAtNanos;

  /**
   * An attempt.
   *
   * @param requestId the request's id, which all attempts of the request share
   * @param fields the fields of the command, without the time that is left
   * @param knownTag the entity tag of the copy that the client holds, which is in the fields too;
   *     empty for none
   * @param body the body as it was received
   * @param deadlineNanos clock time until which the reply is waited for
   * @param attempts all attempts of the request
   */
  protected CacheCommand(
      byte[] requestId,
      byte[] fields,
      byte[] knownTag,
      byte[] body,
      long deadlineNanos,
      List<? extends CacheCommand> attempts) {
    this.requestId = new String(requestId, StandardCharsets.ISO_8859_1);
    this.requestIdBytes = requestId;
    this.fields = fields;
    this.knownTag = new String(knownTag, StandardCharsets.ISO_8859_1);
    this.body = body;
    this.deadlineNanos = deadlineNanos;
    this.attempts = attempts;
  }

  /**
   * The attempt ended.
   *
   * @param body the body where one was returned; null for any other outcome, and where the client's
   *     copy is current
   */
  protected abstract void ended(AttemptOutcome outcome, ResponseDetail note, Buffer body);

  /**
   * Whether it must not be sent any more: its request has been answered, or its time to be sent is
   * over.
   *
   * @param nowNanos the clock's time
   */
  protected boolean isExpired(long nowNanos) {
    return false;
  }

  /** Whether any of it may have reached the cache. */
  public final boolean isWritten() {
    return connection != null;
  }

  /**
   * Whether a body that is returned is a copy, with a tag and a time; uncacheable ones have none.
   */
  protected boolean expectsCopy() {
    return true;
  }

  /** Whether the client holds the copy of this entity tag. */
  boolean isKnownTag(String tag) {
    return !tag.isEmpty() && tag.equals(knownTag);
  }

  /**
   * Whether it may be sent on a connection. Guards against a reply to one attempt that is taken for
   * another's: all attempts of a request share its id.
   */
  boolean mayUse(CacheConnection candidate) {
    return attempts.stream().noneMatch(attempt -> attempt.connection == candidate);
  }

  /** The command in RESP, with the time that is left, in milliseconds and at least 1. */
  Buffer encode(long nowNanos) {
    Buffer out = Buffer.buffer(fields.length + body.length + ENCODING_OVERHEAD_BYTES);
    out.appendString("*4\r\n$4\r\nwant\r\n");
    appendBulk(out, requestIdBytes);
    long leftMillis =
        Math.max(1, (deadlineNanos - nowNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    byte[] left = ("ms=" + leftMillis + ",").getBytes(StandardCharsets.ISO_8859_1);
    out.appendString("$" + (left.length + fields.length) + "\r\n")
        .appendBytes(left)
        .appendBytes(fields);
    out.appendString("\r\n");
    appendBulk(out, body);
    return out;
  }

  /** The command that cancels this one, in RESP. */
  Buffer encodeCancel() {
    return appendBulk(Buffer.buffer("*2\r\n$10\r\nnever_mind\r\n"), requestIdBytes);
  }

  private static Buffer appendBulk(Buffer out, byte[] bytes) {
    return out.appendString("$" + bytes.length + "\r\n").appendBytes(bytes).appendString("\r\n");
  }
}
