package org.amberpath.lab;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes requests and decodes responses of a {@link LoadGenerator} (MessagePack-RPC). */
final class LoadMessages {
  private static final int REQUEST_TYPE = 0;
  private static final int REQUEST_ELEMENTS = 4;
  private static final int ARGUMENT_ELEMENTS = 2;
  private static final String REJECTED_ERROR = "Overloaded";

  /** The kinds of response, as far as the load generator distinguishes them. */
  enum Kind {
    RETURNED,
    REJECTED,
    FAILED
  }

  /**
   * A decoded response.
   *
   * @param number the message id of the request that is answered
   * @param issuedAtMillis when the origin issued the returned copy (Unix time); 0 unless the kind
   *     is {@link Kind#RETURNED}
   */
  record Response(long number, Kind kind, long issuedAtMillis) {}

  private LoadMessages() {}

  static Buffer encodeRequest(long number, String trafficClass, Map<String, String> fields) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer
          .packArrayHeader(REQUEST_ELEMENTS)
          .packInt(REQUEST_TYPE)
          .packLong(number)
          .packString(trafficClass)
          .packArrayHeader(ARGUMENT_ELEMENTS)
          .packMapHeader(fields.size());
      for (Map.Entry<String, String> field : fields.entrySet()) {
        packer.packString(field.getKey()).packString(field.getValue());
      }
      packer.packBinaryHeader(0);
      return Buffer.buffer(packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static Response decodeResponse(byte[] bytes, int start, int end) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, start, end - start)) {
      unpacker.unpackArrayHeader();
      unpacker.unpackInt();
      long number = unpacker.unpackLong();
      boolean succeeded = unpacker.tryUnpackNil();
      unpacker.unpackArrayHeader();
      if (!succeeded) {
        Kind kind = unpacker.unpackString().equals(REJECTED_ERROR) ? Kind.REJECTED : Kind.FAILED;
        return new Response(number, kind, 0);
      }
      byte[] payload = unpacker.readPayload(unpacker.unpackBinaryHeader());
      String body = new String(payload, StandardCharsets.ISO_8859_1);
      return new Response(
          number, Kind.RETURNED, Long.parseLong(body.substring(body.indexOf('@') + 1)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
