package org.amberpath.gateway.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Decodes one complete MessagePack-RPC message, element by element in the order of the methods
 * here: kind, message id, method, request. What follows an invalid element is not decoded.
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

  private final MessageUnpacker in;

  /** A decoder of the message from start to end of a shared array, which is not copied. */
  RequestDecoder(byte[] bytes, int start, int end) {
    in = MessagePack.newDefaultUnpacker(bytes, start, end - start);
  }

  /** The kind of the message; anything that clients do not send is an error. */
  Kind readKind() throws IOException {
    int size = in.unpackArrayHeader();
    int type = in.unpackInt();
    if (type == REQUEST_TYPE && size == REQUEST_ELEMENTS) {
      return Kind.REQUEST;
    }
    if (type == NOTIFICATION_TYPE && size == NOTIFICATION_ELEMENTS) {
      return Kind.NOTIFICATION;
    }
    throw new ProtocolException("no message of type " + type + " and " + size + " elements");
  }

  /** The message id of a request, as it was sent. */
  long readMessageId() throws IOException {
    return in.unpackLong();
  }

  /** The method of a request. */
  String readMethod() throws IOException, InvalidRequestException {
    int length =
        in.getNextFormat().getValueType() == ValueType.STRING ? in.unpackRawStringHeader() : -1;
    if (length < 0 || length > MAX_METHOD_BYTES) {
      throw new InvalidRequestException(
          "method: not a string of up to " + MAX_METHOD_BYTES + " bytes");
    }
    return new String(in.readPayload(length), StandardCharsets.UTF_8);
  }

  /** The parameters of a request of this method: a map of fields and, optionally, a body. */
  DecodedRequest readRequest(String method) throws IOException, InvalidRequestException {
    int parameters =
        in.getNextFormat().getValueType() == ValueType.ARRAY ? in.unpackArrayHeader() : 0;
    if (parameters < 1 || parameters > MAX_PARAMETERS) {
      throw new InvalidRequestException("not fields and a body");
    }
    return RequestFields.read(method, in, parameters > 1);
  }

  /** The message id that a notification cancels; empty for any other notification. */
  OptionalLong readCancelledId() throws IOException {
    String method = in.unpackString();
    if (method.equals(CANCEL_METHOD)
        && in.unpackArrayHeader() > 0
        && in.getNextFormat().getValueType() == ValueType.INTEGER) {
      return OptionalLong.of(in.unpackLong());
    }
    return OptionalLong.empty();
  }

  @Override
  public void close() throws IOException {
    in.close();
  }
}
