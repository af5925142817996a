package org.amberpath.gateway.client;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encodes MessagePack-RPC responses: {@code [1, message id, error, result]}. */
final class ResponseEncoder {
  private static final int RESPONSE_TYPE = 1;
  private static final int RESPONSE_ELEMENTS = 4;
  private static final byte EMPTY_MAP = (byte) 0x80;
  private static final int BUFFER_BYTES = 128;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

  private ResponseEncoder() {}

  /** Encodes a response with the body of a part, as received from the cache. */
  static Buffer body(long messageId, Buffer body) {
    return encode(
            messageId,
            packer -> packer.packNil().packArrayHeader(2).packBinaryHeader(body.length()))
        .appendBuffer(body)
        .appendByte(EMPTY_MAP);
  }

  /** Encodes the response that the copy held by the client is current. */
  static Buffer notModified(long messageId) {
    return encode(
        messageId,
        packer ->
            packer
                .packNil()
                .packArrayHeader(2)
                .packBinaryHeader(0)
                .packMapHeader(1)
                .packString("valid")
                .packString("1"));
  }

  /** Encodes the response to a status request: whether the gateway is ready for requests. */
  static Buffer status(long messageId, boolean ready) {
    return encode(
        messageId,
        packer -> packer.packNil().packArrayHeader(2).packBoolean(ready).packMapHeader(0));
  }

  /**
   * Encodes the response that a request was rejected and not executed.
   *
   * @param retryAfterNanos delay before the client should retry, in nanoseconds, rounded up to
   *     milliseconds on the wire; 0 for none
   */
  static Buffer overloaded(long messageId, long retryAfterNanos) {
    long millis = (retryAfterNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    return error(
        messageId, "Overloaded", "cooldown", retryAfterNanos > 0 ? Long.toString(millis) : null);
  }

  /** Encodes the response that a request failed, with a reason for the client. */
  static Buffer internalError(long messageId, String reason) {
    return error(messageId, "Internal", "why", reason);
  }

  /** Encodes an error with one key and value; without them if the value is null. */
  private static Buffer error(long messageId, String code, String key, String value) {
    return encode(
        messageId,
        packer -> {
          packer.packArrayHeader(2).packString(code).packMapHeader(value == null ? 0 : 1);
          if (value != null) {
            packer.packString(key).packString(value);
          }
          packer.packNil();
        });
  }

  /** Packs the error and the result of a response. */
  private interface PayloadPacker {
    void pack(MessageBufferPacker packer) throws IOException;
  }

  private static Buffer encode(long messageId, PayloadPacker payload) {
    try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
      packer.packArrayHeader(RESPONSE_ELEMENTS).packInt(RESPONSE_TYPE).packLong(messageId);
      payload.pack(packer);
      return Buffer.buffer(packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
