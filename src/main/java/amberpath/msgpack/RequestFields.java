package amberpath.msgpack;

import amberpath.msgpack.ClientConnection.Unusable;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Decodes of a request's fields what decisions need; the rest stays the bytes that came. */
final class RequestFields {
  private static final int MOST = 64;
  private static final byte[] NONE = {};

  private final Map<String, byte[]> values = new HashMap<>();

  private RequestFields() {
  }

  static ClientGet read(String method, MessageUnpacker in, boolean withBody) throws IOException, Unusable {
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
      String name = ClientConnection.ascii(key);
      fields.values.put(name, text(in, name));
    }
    byte[] body = withBody ? body(in) : NONE;
    byte[] object = fields.hex("lookup");
    byte[] part = fields.digits("chunk");
    byte[] tag = fields.values.get("tag");
    byte[] known = fields.values.containsKey("known") ? fields.hex("known") : NONE;
    return new ClientGet(method, fields.hex("ref"), object, part, known, body,
        Long.parseUnsignedLong(ClientConnection.ascii(object), 16), fields.number("chunk", part),
        tag == null ? 0 : fields.number("tag", tag),
        (long) (fields.real("allow", -1) * 1e6), fields.real("room", 0));
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

  private byte[] digits(String name) throws Unusable {
    byte[] value = present(name);
    number(name, value);
    return value;
  }

  private int number(String name, byte[] value) throws Unusable {
    try {
      return Integer.parseUnsignedInt(ClientConnection.ascii(value)) & Integer.MAX_VALUE;
    } catch (NumberFormatException e) {
      throw new Unusable(name + ": not a whole number");
    }
  }

  private double real(String name, double absent) throws Unusable {
    if (absent >= 0 && !values.containsKey(name)) {
      return absent;
    }
    try {
      double value = Double.parseDouble(ClientConnection.ascii(present(name)));
      if (value >= 0 && value < 1e9) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Said below.
    }
    throw new Unusable(name + ": not a number from 0");
  }
}
