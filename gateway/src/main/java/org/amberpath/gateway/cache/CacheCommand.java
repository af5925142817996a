package org.amberpath.gateway.cache;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;

/**
 * One attempt of a request, sent to a cache as one command. The subclass is notified of its outcome
 * exactly once, unless the command is cancelled. Confined to the event loop of the pool.
 */
public abstract class CacheCommand {
  private static final int ENCODING_OVERHEAD_BYTES = 96;
  private static final long NANOS_PER_MILLI = 1_000_000;

  final String requestId;
  private final byte[] requestIdBytes;
  private final byte[] fields;

  /** The entity tag of the copy that the client holds; empty for none. */
  final String knownTag;

  private final byte[] body;
  private final long deadlineNanos;
  private final List<? extends CacheCommand> attempts;

  /** The connection that the command was written to; null before that. */
  CacheConnection connection;

  /** Clock time at which the command was written to its connection. */
  long writtenAtNanos;

  /**
   * Creates a command that has not been sent.
   *
   * @param requestId the id of the request, which all its attempts share
   * @param fields the encoded fields of the command, without the remaining time ({@code ms=})
   * @param knownTag the entity tag of the copy that the client holds, which the fields contain too;
   *     empty for none
   * @param body the request body as received from the client
   * @param deadlineNanos clock time until which the reply is awaited
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
   * Called when the attempt ends.
   *
   * @param note what the cache reported about how it produced its reply
   * @param body the returned body; null if the outcome has none or the client's copy is current
   */
  protected abstract void onEnded(AttemptOutcome outcome, ResponseDetail note, Buffer body);

  /**
   * Returns whether the command must not be sent any more, because its request has been answered or
   * its time window for sending is over.
   *
   * @param nowNanos the current clock time
   */
  protected boolean isExpired(long nowNanos) {
    return false;
  }

  /** Returns whether any byte of the command may have reached the cache. */
  public final boolean isWritten() {
    return connection != null;
  }

  /**
   * Returns whether a returned body must be a cacheable copy with an entity tag and an issue time;
   * uncacheable bodies have neither.
   */
  protected boolean expectsCopy() {
    return true;
  }

  /** Returns whether the client holds the copy with this entity tag. */
  boolean isKnownTag(String tag) {
    return !tag.isEmpty() && tag.equals(knownTag);
  }

  /**
   * Returns whether the command may be sent on a connection. Two attempts of a request never share
   * a connection, because replies are matched by request id and could be assigned to the wrong one.
   */
  boolean mayUse(CacheConnection candidate) {
    return attempts.stream().noneMatch(attempt -> attempt.connection == candidate);
  }

  /** Encodes the command in RESP, with the remaining time in milliseconds, at least 1. */
  Buffer encode(long nowNanos) {
    Buffer out = Buffer.buffer(fields.length + body.length + ENCODING_OVERHEAD_BYTES);
    out.appendString("*4\r\n$4\r\nwant\r\n");
    appendBulk(out, requestIdBytes);
    long remainingMillis =
        Math.max(1, (deadlineNanos - nowNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    byte[] timeField = ("ms=" + remainingMillis + ",").getBytes(StandardCharsets.ISO_8859_1);
    out.appendString("$" + (timeField.length + fields.length) + "\r\n")
        .appendBytes(timeField)
        .appendBytes(fields);
    out.appendString("\r\n");
    appendBulk(out, body);
    return out;
  }

  /** Encodes the command that cancels this one in RESP. */
  Buffer encodeCancel() {
    return appendBulk(Buffer.buffer("*2\r\n$10\r\nnever_mind\r\n"), requestIdBytes);
  }

  private static Buffer appendBulk(Buffer out, byte[] bytes) {
    return out.appendString("$" + bytes.length + "\r\n").appendBytes(bytes).appendString("\r\n");
  }
}
