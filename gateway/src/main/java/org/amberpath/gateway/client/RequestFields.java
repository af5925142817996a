package org.amberpath.gateway.client;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.amberpath.gateway.client.ClientConnection.Unusable;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Decodes of a request's fields what decisions need; the rest stays the bytes that came. */
final class RequestFields {
  private static final int MOST = 64, LONGEST_KEY = 64, LONGEST_NUMBER = 24, LONGEST_TOKEN = 64;

  /** The protocol's figures at most; where it names none, an hour, an index and a terabyte. */
  private static final long MOST_GROUP = 255,
      LONGEST_MS = 3_600_000,
      MOST_PARTS = Integer.MAX_VALUE,
      MOST_KB = 1 << 30;

  private static final byte[] NONE = {};

  private final Map<String, byte[]> values = new HashMap<>();

  private RequestFields() {}

  static DecodedRequest read(String method, MessageUnpacker in, boolean withBody)
      throws IOException, Unusable {
    RequestFields fields = new RequestFields();
    if (in.getNextFormat().getValueType() != ValueType.MAP) {
      throw new Unusable("fields: not a map");
    }
    int count = in.unpackMapHeader();
    if (count > MOST) {
      throw new Unusable("fields: more than " + MOST);
    }
    for (int i = 0; i < count; i++) {
      byte[] key = text(in, "fields: a key");
      if (key.length > LONGEST_KEY) {
        throw new Unusable("fields: a key longer than " + LONGEST_KEY + " bytes");
      }
      String name = ClientConnection.ascii(key);
      if (fields.values.put(name, text(in, name)) != null) {
        throw new Unusable("fields: one key twice");
      }
    }
    byte[] body = withBody ? body(in) : NONE;
    byte[] object = fields.hex("lookup");
    byte[] part = fields.present("chunk");
    byte[] known = fields.values.containsKey("known") ? fields.hex("known") : NONE;
    double allow = fields.real("allow", -1, LONGEST_MS);
    if (allow < 1) {
      throw new Unusable("allow: not a time to wait");
    }
    return new DecodedRequest(
        method,
        fields.hex("ref"),
        object,
        part,
        known,
        fields.token(),
        body,
        Long.parseUnsignedLong(ClientConnection.ascii(object), 16),
        (int) fields.whole("chunk", -1, MOST_PARTS),
        (int) fields.whole("tag", 0, MOST_GROUP),
        (long) (allow * 1e6),
        fields.real("room", 0, MOST_KB));
  }

  private static byte[] text(MessageUnpacker in, String name) throws IOException, Unusable {
    MessageFormat format = in.getNextFormat();
    if (format.getValueType() != ValueType.STRING) {
      throw new Unusable(name + ": not a string");
    }
    return in.readPayload(in.unpackRawStringHeader());
  }

  private static byte[] body(MessageUnpacker in) throws IOException, Unusable {
    ValueType type = in.getNextFormat().getValueType();
    if (type == ValueType.NIL) {
      return NONE;
    }
    if (type != ValueType.BINARY) {
      throw new Unusable("body: not bytes");
    }
    int length = in.unpackBinaryHeader();
    if (length > ClientConnection.LONGEST_BODY) {
      throw new Unusable("body: longer than " + ClientConnection.LONGEST_BODY + " bytes");
    }
    return in.readPayload(length);
  }

  private byte[] present(String name) throws Unusable {
    byte[] value = values.get(name);
    if (value == null) {
      throw new Unusable(name + ": missing");
    }
    return value;
  }

  private byte[] hex(String name) throws Unusable {
    byte[] value = present(name);
    boolean good = value.length == 16;
    for (byte one : value) {
      good &= Character.digit(one, 16) >= 0;
    }
    if (!good) {
      throw new Unusable(name + ": not 16 hex digits");
    }
    return value;
  }

  /**
   * What marks a GET's repeats, if anything: it goes on as it came, so it may not read as more than
   * one field.
   */
  private byte[] token() throws Unusable {
    byte[] value = values.getOrDefault("replay", NONE);
    boolean good = value.length <= LONGEST_TOKEN;
    for (byte one : value) {
      good &= one > ' ' && one < 0x7f && one != ',';
    }
    if (!good) {
      throw new Unusable("replay: not up to " + LONGEST_TOKEN + " plain characters");
    }
    return value;
  }

  private long whole(String name, long absent, long most) throws Unusable {
    double value = real(name, (double) absent, (double) most);
    if (values.containsKey(name) && ClientConnection.ascii(values.get(name)).indexOf('.') >= 0) {
      throw new Unusable(name + ": not a whole number");
    }
    return (long) value;
  }

  /** Plain decimals from 0 to a bound; what a runtime reads beyond these is no number here. */
  private double real(String name, double absent, double most) throws Unusable {
    if (absent >= 0 && !values.containsKey(name)) {
      return absent;
    }
    byte[] value = present(name);
    boolean good = value.length > 0 && value.length <= LONGEST_NUMBER && value[0] != '.';
    int points = 0;
    for (byte one : value) {
      points += one == '.' ? 1 : 0;
      good &= (one >= '0' && one <= '9') || (one == '.' && points == 1);
    }
    double number = good ? Double.parseDouble(ClientConnection.ascii(value)) : -1;
    if (number < 0 || number > most) {
      throw new Unusable(name + ": not a number from 0 to " + (long) most);
    }
    return number;
  }
}
