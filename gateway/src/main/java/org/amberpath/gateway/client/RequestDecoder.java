package org.amberpath.gateway.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Decodes one complete MessagePack-RPC message element by element. The methods have to be called in
 * the order of the elements: {@link #readKind}, then {@link #readMessageId}, {@link #readMethod}
 * and {@link #readRequest} for a request, or {@link #readCancelledId} for a notification. After an
 * exception nothing more may be read.
 */
final class RequestDecoder implements AutoCloseable {
  /** The kinds of message that clients send. */
  enum Kind {
    REQUEST,
    NOTIFICATION
  }

  private static final String CANCEL_METHOD = "withdraw";
  private static final int REQUEST_TYPE = 0;
  private static final int NOTIFICATION_TYPE = 2;
  private static final int REQUEST_ELEMENTS = 4;
  private static final int NOTIFICATION_ELEMENTS = 3;
  private static final int MAX_METHOD_BYTES = 64;
  private static final int MAX_PARAMETERS = 2;

  private final MessageUnpacker unpacker;

  /** Creates a decoder of the message from start to end of a shared array, without copying it. */
  RequestDecoder(byte[] bytes, int start, int end) {
    unpacker = MessagePack.newDefaultUnpacker(bytes, start, end - start);
  }

  /** Reads the kind of the message; all but requests and notifications are protocol errors. */
  Kind readKind() throws IOException {
    int size = unpacker.unpackArrayHeader();
    int type = unpacker.unpackInt();
    if (type == REQUEST_TYPE && size == REQUEST_ELEMENTS) {
      return Kind.REQUEST;
    }
    if (type == NOTIFICATION_TYPE && size == NOTIFICATION_ELEMENTS) {
      return Kind.NOTIFICATION;
    }
    throw new ProtocolException(
        "message: got type "
            + type
            + " with "
            + size
            + " elements, expected a request (type 0, 4 elements) or a notification (2, 3)");
  }

  /** Reads the message id of a request, which may be out of range. */
  long readMessageId() throws IOException {
    return unpacker.unpackLong();
  }

  /** Reads the method of a request. */
  String readMethod() throws IOException, InvalidRequestException {
    ValueType type = unpacker.getNextFormat().getValueType();
    int length = type == ValueType.STRING ? unpacker.unpackRawStringHeader() : -1;
    if (length < 0 || length > MAX_METHOD_BYTES) {
      throw new InvalidRequestException(
          "method: not a string of up to " + MAX_METHOD_BYTES + " bytes",
          length < 0 ? "got " + type : "got " + length + " bytes");
    }
    return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
  }

  /** Reads the parameters of a request: a map of fields and, optionally, a body. */
  DecodedRequest readRequest(String method) throws IOException, InvalidRequestException {
    ValueType type = unpacker.getNextFormat().getValueType();
    int parameters = type == ValueType.ARRAY ? unpacker.unpackArrayHeader() : 0;
    if (parameters < 1 || parameters > MAX_PARAMETERS) {
      throw new InvalidRequestException(
          "not fields and a body",
          "parameters: got "
              + type
              + (type == ValueType.ARRAY ? " of " + parameters : "")
              + ", expected ARRAY of 1 or 2: fields, optionally a body");
    }
    return RequestFields.read(method, unpacker, parameters > 1);
  }

  /** Reads the message id that a notification cancels; empty if it is no cancellation. */
  OptionalLong readCancelledId() throws IOException {
    String method = unpacker.unpackString();
    if (method.equals(CANCEL_METHOD)
        && unpacker.unpackArrayHeader() > 0
        && unpacker.getNextFormat().getValueType() == ValueType.INTEGER) {
      return OptionalLong.of(unpacker.unpackLong());
    }
    return OptionalLong.empty();
  }

  @Override
  public void close() throws IOException {
    unpacker.close();
  }
}
