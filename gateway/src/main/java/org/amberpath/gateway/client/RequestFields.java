package org.amberpath.gateway.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.amberpath.gateway.transport.ReceivedText;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * The fields of one request. Decodes the values that routing needs; all others stay as the bytes
 * that were received.
 */
final class RequestFields {
  private static final int MAX_FIELDS = 64;
  private static final int MAX_KEY_BYTES = 64;
  private static final int MAX_NUMBER_BYTES = 24;
  private static final int MAX_IDEMPOTENCY_KEY_BYTES = 64;
  private static final int ID_HEX_DIGITS = 16;
  private static final int HEX_RADIX = 16;

  /** Bound of the protocol. */
  private static final long MAX_PURGE_GROUP = 255;

  /** One hour; the protocol states no bound. */
  private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  /** Largest index; the protocol states no bound. */
  private static final long MAX_PARTS = Integer.MAX_VALUE;

  /** One terabyte; the protocol states no bound. */
  private static final long MAX_SIZE_KB = 1 << 30;

  /** Passed as the default of a number to mark the field as mandatory. */
  private static final long REQUIRED = -1;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final byte[] EMPTY = {};

  private static final String REQUEST_ID_KEY = "ref";
  private static final String OBJECT_KEY = "lookup";
  private static final String PART_KEY = "chunk";
  private static final String KNOWN_TAG_KEY = "known";
  private static final String IDEMPOTENCY_KEY = "replay";
  private static final String TIMEOUT_KEY = "allow";
  private static final String PURGE_GROUP_KEY = "tag";
  private static final String SIZE_KEY = "room";

  private final Map<String, byte[]> values = new HashMap<>();

  private RequestFields() {}

  /**
   * Reads a map of fields and, if there is one, the body that follows it.
   *
   * @param hasBody whether a body follows the map
   * @throws InvalidRequestException if a field is missing, malformed or out of bounds
   * @throws IOException if the bytes are not valid MessagePack
   */
  static DecodedRequest read(String trafficClass, MessageUnpacker unpacker, boolean hasBody)
      throws IOException, InvalidRequestException {
    RequestFields fields = new RequestFields();
    fields.readMap(unpacker);
    ByteString body = hasBody ? readBody(unpacker) : ByteString.EMPTY;
    ByteString objectName = fields.hexField(OBJECT_KEY);
    ByteString partName = ByteString.of(fields.requiredField(PART_KEY));
    ByteString knownTag =
        fields.values.containsKey(KNOWN_TAG_KEY)
            ? fields.hexField(KNOWN_TAG_KEY)
            : ByteString.EMPTY;
    double timeoutMillis = fields.decimalField(TIMEOUT_KEY, REQUIRED, MAX_TIMEOUT_MILLIS);
    if (timeoutMillis < 1) {
      throw new InvalidRequestException(
          "allow: not a time to wait", "got " + timeoutMillis + ", expected at least 1 ms");
    }
    return new DecodedRequest(
        trafficClass,
        fields.hexField(REQUEST_ID_KEY),
        objectName,
        partName,
        knownTag,
        fields.idempotencyKey(),
        body,
        Long.parseUnsignedLong(objectName.toString(), HEX_RADIX),
        (int) fields.integerField(PART_KEY, REQUIRED, MAX_PARTS),
        (int) fields.integerField(PURGE_GROUP_KEY, 0, MAX_PURGE_GROUP),
        (long) (timeoutMillis * NANOS_PER_MILLI),
        fields.decimalField(SIZE_KEY, 0, MAX_SIZE_KB));
  }

  private void readMap(MessageUnpacker unpacker) throws IOException, InvalidRequestException {
    ValueType type = unpacker.getNextFormat().getValueType();
    if (type != ValueType.MAP) {
      throw new InvalidRequestException("fields: not a map", "got " + type);
    }
    int count = unpacker.unpackMapHeader();
    if (count > MAX_FIELDS) {
      throw new InvalidRequestException("fields: more than " + MAX_FIELDS, "got " + count);
    }
    for (int i = 0; i < count; i++) {
      byte[] key = readString(unpacker, "fields: a key");
      if (key.length > MAX_KEY_BYTES) {
        throw new InvalidRequestException(
            "fields: a key longer than " + MAX_KEY_BYTES + " bytes",
            "got " + ReceivedText.quote(key));
      }
      String name = decodeLatin1(key);
      if (values.put(name, readString(unpacker, name)) != null) {
        throw new InvalidRequestException(
            "fields: one key twice", "got " + ReceivedText.quote(key) + " again");
      }
    }
  }

  private static byte[] readString(MessageUnpacker unpacker, String name)
      throws IOException, InvalidRequestException {
    MessageFormat format = unpacker.getNextFormat();
    if (format.getValueType() != ValueType.STRING) {
      throw new InvalidRequestException(name + ": not a string", "got " + format.getValueType());
    }
    return unpacker.readPayload(unpacker.unpackRawStringHeader());
  }

  private static ByteString readBody(MessageUnpacker unpacker)
      throws IOException, InvalidRequestException {
    ValueType type = unpacker.getNextFormat().getValueType();
    if (type == ValueType.NIL) {
      return ByteString.EMPTY;
    }
    if (type != ValueType.BINARY) {
      throw new InvalidRequestException("body: not bytes", "got " + type);
    }
    int length = unpacker.unpackBinaryHeader();
    if (length > ClientConnection.MAX_BODY_BYTES) {
      throw new InvalidRequestException(
          "body: longer than " + ClientConnection.MAX_BODY_BYTES + " bytes", "got " + length);
    }
    return ByteString.of(unpacker.readPayload(length));
  }

  private byte[] requiredField(String key) throws InvalidRequestException {
    byte[] value = values.get(key);
    if (value == null) {
      throw new InvalidRequestException(key + ": missing");
    }
    return value;
  }

  private ByteString hexField(String key) throws InvalidRequestException {
    byte[] value = requiredField(key);
    boolean valid = value.length == ID_HEX_DIGITS;
    for (byte digit : value) {
      valid &= Character.digit(digit, HEX_RADIX) >= 0;
    }
    if (!valid) {
      throw new InvalidRequestException(
          key + ": not 16 hex digits", "got " + ReceivedText.quote(value));
    }
    return ByteString.of(value);
  }

  /**
   * Returns the idempotency key, empty for none. It is forwarded to caches as received, so it must
   * not contain the comma that separates the fields of a command.
   */
  private ByteString idempotencyKey() throws InvalidRequestException {
    byte[] value = values.getOrDefault(IDEMPOTENCY_KEY, EMPTY);
    boolean valid = value.length <= MAX_IDEMPOTENCY_KEY_BYTES;
    for (byte character : value) {
      valid &= character > ' ' && character < 0x7f && character != ',';
    }
    if (!valid) {
      throw new InvalidRequestException(
          IDEMPOTENCY_KEY + ": not up to " + MAX_IDEMPOTENCY_KEY_BYTES + " plain characters",
          "got " + ReceivedText.quote(value));
    }
    return ByteString.of(value);
  }

  private long integerField(String key, long defaultValue, long max)
      throws InvalidRequestException {
    double value = decimalField(key, (double) defaultValue, (double) max);
    if (values.containsKey(key) && decodeLatin1(values.get(key)).indexOf('.') >= 0) {
      throw new InvalidRequestException(
          key + ": not a whole number", "got " + ReceivedText.quote(values.get(key)));
    }
    return (long) value;
  }

  /**
   * Parses a plain decimal number from 0 to {@code max}. Signs, exponents and other forms that
   * {@link Double#parseDouble} accepts are invalid.
   *
   * @param defaultValue the value of a field that is absent; {@link #REQUIRED} if it must be
   *     present
   */
  private double decimalField(String key, double defaultValue, double max)
      throws InvalidRequestException {
    if (defaultValue >= 0 && !values.containsKey(key)) {
      return defaultValue;
    }
    byte[] value = requiredField(key);
    boolean valid = value.length > 0 && value.length <= MAX_NUMBER_BYTES && value[0] != '.';
    int decimalPoints = 0;
    for (byte character : value) {
      decimalPoints += character == '.' ? 1 : 0;
      valid &= (character >= '0' && character <= '9') || (character == '.' && decimalPoints == 1);
    }
    double number = valid ? Double.parseDouble(decodeLatin1(value)) : -1;
    if (number < 0 || number > max) {
      throw new InvalidRequestException(
          key + ": not a number from 0 to " + (long) max, "got " + ReceivedText.quote(value));
    }
    return number;
  }

  private static String decodeLatin1(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }
}
