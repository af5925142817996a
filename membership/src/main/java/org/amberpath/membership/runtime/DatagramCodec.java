package org.amberpath.membership.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * A datagram's form: MessagePack values one after another, then {@value FleetKeys#LENGTH} bytes
 * that prove who made them. First come version, fleet and the key's id; nothing behind them is read
 * before the proof.
 */
@SuppressWarnings("EnumOrdinal") // The order of the constants is the form on the wire.
public final class DatagramCodec {
  /** What a datagram is worth that tells nothing. */
  public enum Fault {
    UNREADABLE,
    OTHER_VERSION,
    OTHER_FLEET,
    OTHER_KEY,
    FORGED
  }

  /** Something that one gateway writes to another by way of the fleet's datagrams. */
  @SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
  public record UserMessage(MemberUpdate from, long to, long serial, byte[] body) {}

  /** What came of one: a message, a letter, or what is wrong with it. */
  public record DecodedDatagram(GossipMessage message, UserMessage letter, Fault fault) {}

  public static final int MAX_DATAGRAM_BYTES = 1400, MAX_PAYLOAD_BYTES = 1000;
  static final String NAME = "[A-Za-z0-9._-]{1,32}";
  private static final String ADDRESS = "[0-9.]{7,15}:[0-9]{1,5}";
  private static final int VERSION = 1, MORE = 1, WHOLE = 2;
  private static final GossipMessage.Kind[] KINDS = GossipMessage.Kind.values();
  private static final int LETTER = KINDS.length;
  private static final MemberStatus[] STANDINGS = MemberStatus.values();

  private final String fleet;
  private final int mostRumours;

  /** The form of one fleet, with so many rumours in a datagram at most. */
  public DatagramCodec(String fleet, int mostRumours) {
    this.fleet = fleet;
    this.mostRumours = mostRumours;
  }

  /** A datagram of this message, signed. */
  public byte[] encode(GossipMessage message, HmacKeyring keys) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(VERSION).packString(fleet).packString(keys.first());
      out.packInt(message.kind().ordinal())
          .packLong(message.recipientInstanceId())
          .packLong(message.sequenceNumber())
          .packLong(message.probeNumber())
          .packLong(message.countedDigest())
          .packLong(message.presentDigest());
      if (message.subject() == null) {
        out.packNil();
      } else {
        out.packString(message.subject());
      }
      out.packInt((message.hasMore() ? MORE : 0) + (message.fullySynced() ? WHOLE : 0));
      out.packArrayHeader(message.updates().size());
      encode(out, message.sender());
      for (MemberUpdate rumour : message.updates()) {
        encode(out, rumour);
      }
      return signed(out.toByteArray(), keys);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A datagram of this letter, signed. */
  public byte[] encode(UserMessage letter, HmacKeyring keys) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(VERSION).packString(fleet).packString(keys.first());
      out.packInt(LETTER).packLong(letter.to()).packLong(letter.serial());
      encode(out, letter.from());
      out.packBinaryHeader(letter.body().length).writePayload(letter.body());
      return signed(out.toByteArray(), keys);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static byte[] signed(byte[] bytes, HmacKeyring keys) {
    byte[] whole = Arrays.copyOf(bytes, bytes.length + HmacKeyring.LENGTH);
    System.arraycopy(keys.sign(bytes), 0, whole, bytes.length, HmacKeyring.LENGTH);
    return whole;
  }

  private static void encode(MessageBufferPacker out, MemberUpdate rumour) throws IOException {
    out.packString(rumour.name())
        .packString(rumour.address())
        .packLong(rumour.incarnation())
        .packLong(rumour.instanceId())
        .packInt(rumour.status().ordinal())
        .packString(rumour.reporter());
  }

  /** What a datagram says, if it is whole, of this fleet and proved. */
  public DecodedDatagram decode(byte[] bytes, HmacKeyring keys) {
    int length = bytes.length - HmacKeyring.LENGTH;
    if (length <= 0 || bytes.length > MAX_DATAGRAM_BYTES) {
      return new DecodedDatagram(null, null, Fault.UNREADABLE);
    }
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
      if (in.unpackInt() != VERSION) {
        return new DecodedDatagram(null, null, Fault.OTHER_VERSION);
      }
      if (!in.unpackString().equals(fleet)) {
        return new DecodedDatagram(null, null, Fault.OTHER_FLEET);
      }
      String key = in.unpackString();
      if (!keys.knows(key)) {
        return new DecodedDatagram(null, null, Fault.OTHER_KEY);
      }
      if (!keys.proves(key, bytes)) {
        return new DecodedDatagram(null, null, Fault.FORGED);
      }
      int kind = below(in.unpackInt(), KINDS.length + 1);
      return kind == LETTER
          ? new DecodedDatagram(null, letter(in), null)
          : new DecodedDatagram(message(KINDS[kind], in), null, null);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return new DecodedDatagram(null, null, Fault.UNREADABLE);
    }
  }

  private static UserMessage letter(MessageUnpacker in) throws IOException {
    long to = in.unpackLong(), serial = in.unpackLong();
    MemberUpdate from = rumour(in);
    byte[] body = in.readPayload(below(in.unpackBinaryHeader(), MAX_PAYLOAD_BYTES + 1));
    if (in.hasNext() || serial <= 0) {
      throw new IllegalArgumentException();
    }
    return new UserMessage(from, to, serial, body);
  }

  private GossipMessage message(GossipMessage.Kind kind, MessageUnpacker in) throws IOException {
    long to = in.unpackLong(),
        serial = in.unpackLong(),
        number = in.unpackLong(),
        names = in.unpackLong();
    long there = in.unpackLong();
    String about = in.tryUnpackNil() ? null : text(in, NAME);
    int flags = below(in.unpackInt(), MORE + WHOLE + 1);
    int many = below(in.unpackArrayHeader(), mostRumours + 1);
    MemberUpdate from = rumour(in);
    List<MemberUpdate> rumours = new ArrayList<>(many);
    for (int one = 0; one < many; one++) {
      rumours.add(rumour(in));
    }
    boolean asks = kind == GossipMessage.Kind.ASK;
    if (in.hasNext()
        || serial <= 0
        || (asks && about == null)
        || (kind == GossipMessage.Kind.PAGE && many == 0 && (flags & MORE) != 0)) {
      throw new IllegalArgumentException();
    }
    return new GossipMessage(
        kind,
        from,
        to,
        serial,
        number,
        names,
        there,
        about,
        (flags & MORE) != 0,
        (flags & WHOLE) != 0,
        rumours);
  }

  private static MemberUpdate rumour(MessageUnpacker in) throws IOException {
    String name = text(in, NAME), address = text(in, ADDRESS);
    long incarnation = in.unpackLong(), birth = in.unpackLong();
    if (incarnation < 0) {
      throw new IllegalArgumentException();
    }
    return new MemberUpdate(
        name,
        address,
        incarnation,
        birth,
        STANDINGS[below(in.unpackInt(), STANDINGS.length)],
        text(in, NAME));
  }

  private static int below(int value, int bound) {
    if (value < 0 || value >= bound) {
      throw new IllegalArgumentException();
    }
    return value;
  }

  private static String text(MessageUnpacker in, String form) throws IOException {
    String text = in.unpackString();
    if (!text.matches(form)) {
      throw new IllegalArgumentException();
    }
    return text;
  }
}
