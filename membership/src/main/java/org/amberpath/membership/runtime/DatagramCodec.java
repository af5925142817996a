package org.amberpath.membership.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.runtime.DecodedDatagram.Fault;
import org.amberpath.membership.runtime.DecodedDatagram.Rejected;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes datagrams. A datagram is a sequence of MessagePack values, followed by a
 * signature of {@value HmacKeyring#SIGNATURE_BYTES} bytes. The header is the format version, the
 * fleet's name and the id of the signing key; the values after the header are decoded only once the
 * signature is verified. Enum constants are written as ordinals, so their order is part of the
 * format; tests check it against golden files.
 *
 * <p>Not thread-safe. Bounds: {@value #MAX_DATAGRAM_BYTES} bytes per datagram, {@value
 * #MAX_PAYLOAD_BYTES} bytes in the body of a {@link UserMessage}.
 */
@SuppressWarnings("EnumOrdinal") // Ordinals are part of the wire format.
public final class DatagramCodec {
  /** The largest datagram that is decoded, in bytes; it fits into one Ethernet frame. */
  public static final int MAX_DATAGRAM_BYTES = 1400;

  /** The largest body of a {@link UserMessage}, in bytes. */
  public static final int MAX_PAYLOAD_BYTES = 1000;

  /** The regular expression of member names. */
  static final String NAME = "[A-Za-z0-9._-]{1,32}";

  private static final String ADDRESS = "[0-9.]{7,15}:[0-9]{1,5}";
  private static final int VERSION = 1;
  private static final int HAS_MORE_FLAG = 1;
  private static final int FULLY_SYNCED_FLAG = 2;
  private static final GossipMessage.Kind[] KINDS = GossipMessage.Kind.values();
  private static final int USER_MESSAGE = KINDS.length;
  private static final MemberStatus[] STATUSES = MemberStatus.values();

  private final String fleet;
  private final int maxUpdates;

  /**
   * Creates a codec for the datagrams of one fleet.
   *
   * @param fleet the fleet's name; datagrams with another name are rejected
   * @param maxUpdates the maximum number of updates in a decoded message
   */
  public DatagramCodec(String fleet, int maxUpdates) {
    this.fleet = fleet;
    this.maxUpdates = maxUpdates;
  }

  /** Encodes a protocol message, and signs it with the keyring's first key. */
  public byte[] encode(GossipMessage message, HmacKeyring keys) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      packHeader(out, keys);
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
      out.packInt(
          (message.hasMore() ? HAS_MORE_FLAG : 0)
              + (message.fullySynced() ? FULLY_SYNCED_FLAG : 0));
      out.packArrayHeader(message.updates().size());
      pack(out, message.sender());
      for (MemberUpdate update : message.updates()) {
        pack(out, update);
      }
      return sign(out.toByteArray(), keys);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Encodes a user message, and signs it with the keyring's first key. */
  public byte[] encode(UserMessage message, HmacKeyring keys) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      packHeader(out, keys);
      out.packInt(USER_MESSAGE)
          .packLong(message.recipientInstanceId())
          .packLong(message.sequenceNumber());
      pack(out, message.sender());
      out.packBinaryHeader(message.body().length).writePayload(message.body());
      return sign(out.toByteArray(), keys);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void packHeader(MessageBufferPacker out, HmacKeyring keys) throws IOException {
    out.packInt(VERSION).packString(fleet).packString(keys.signingKeyId());
  }

  private static void pack(MessageBufferPacker out, MemberUpdate update) throws IOException {
    out.packString(update.name())
        .packString(update.address())
        .packLong(update.incarnation())
        .packLong(update.instanceId())
        .packInt(update.status().ordinal())
        .packString(update.reporter());
  }

  private static byte[] sign(byte[] bytes, HmacKeyring keys) {
    byte[] signed = Arrays.copyOf(bytes, bytes.length + HmacKeyring.SIGNATURE_BYTES);
    System.arraycopy(keys.sign(bytes), 0, signed, bytes.length, HmacKeyring.SIGNATURE_BYTES);
    return signed;
  }

  /** Decodes and verifies a datagram, or returns why it is rejected; never throws for any bytes. */
  public DecodedDatagram decode(byte[] datagram, HmacKeyring keys) {
    int length = datagram.length - HmacKeyring.SIGNATURE_BYTES;
    if (length <= 0 || datagram.length > MAX_DATAGRAM_BYTES) {
      return new Rejected(Fault.UNREADABLE);
    }
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(datagram, 0, length)) {
      if (in.unpackInt() != VERSION) {
        return new Rejected(Fault.OTHER_VERSION);
      }
      if (!in.unpackString().equals(fleet)) {
        return new Rejected(Fault.OTHER_FLEET);
      }
      String keyId = in.unpackString();
      if (!keys.contains(keyId)) {
        return new Rejected(Fault.OTHER_KEY);
      }
      if (!keys.verifies(keyId, datagram)) {
        return new Rejected(Fault.FORGED);
      }
      int kind = requireBelow(in.unpackInt(), KINDS.length + 1);
      return kind == USER_MESSAGE
          ? new DecodedDatagram.User(unpackUserMessage(in))
          : new DecodedDatagram.Gossip(unpackGossip(KINDS[kind], in));
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return new Rejected(Fault.UNREADABLE);
    }
  }

  private static UserMessage unpackUserMessage(MessageUnpacker in) throws IOException {
    long recipientInstanceId = in.unpackLong();
    long sequenceNumber = in.unpackLong();
    MemberUpdate sender = unpackUpdate(in);
    byte[] body = in.readPayload(requireBelow(in.unpackBinaryHeader(), MAX_PAYLOAD_BYTES + 1));
    require(!in.hasNext() && sequenceNumber > 0);
    return new UserMessage(sender, recipientInstanceId, sequenceNumber, body);
  }

  private GossipMessage unpackGossip(GossipMessage.Kind kind, MessageUnpacker in)
      throws IOException {
    long recipientInstanceId = in.unpackLong();
    long sequenceNumber = in.unpackLong();
    long probeNumber = in.unpackLong();
    long countedDigest = in.unpackLong();
    long presentDigest = in.unpackLong();
    String subject = in.tryUnpackNil() ? null : unpackText(in, NAME);
    int flags = requireBelow(in.unpackInt(), HAS_MORE_FLAG + FULLY_SYNCED_FLAG + 1);
    boolean hasMore = (flags & HAS_MORE_FLAG) != 0;
    int count = requireBelow(in.unpackArrayHeader(), maxUpdates + 1);
    MemberUpdate sender = unpackUpdate(in);
    List<MemberUpdate> updates = new ArrayList<>(count);
    for (int update = 0; update < count; update++) {
      updates.add(unpackUpdate(in));
    }
    require(!in.hasNext() && sequenceNumber > 0);
    require(kind != GossipMessage.Kind.ASK || subject != null);
    require(kind != GossipMessage.Kind.PAGE || !hasMore || count > 0);
    return new GossipMessage(
        kind,
        sender,
        recipientInstanceId,
        sequenceNumber,
        probeNumber,
        countedDigest,
        presentDigest,
        subject,
        hasMore,
        (flags & FULLY_SYNCED_FLAG) != 0,
        updates);
  }

  private static MemberUpdate unpackUpdate(MessageUnpacker in) throws IOException {
    String name = unpackText(in, NAME);
    String address = unpackText(in, ADDRESS);
    long incarnation = in.unpackLong();
    long instanceId = in.unpackLong();
    require(incarnation >= 0);
    MemberStatus status = STATUSES[requireBelow(in.unpackInt(), STATUSES.length)];
    String reporter = unpackText(in, NAME);
    return new MemberUpdate(name, address, incarnation, instanceId, status, reporter);
  }

  private static String unpackText(MessageUnpacker in, String pattern) throws IOException {
    String text = in.unpackString();
    require(text.matches(pattern));
    return text;
  }

  private static int requireBelow(int value, int bound) {
    require(value >= 0 && value < bound);
    return value;
  }

  /** Ends the decoding of a datagram that is correctly signed but malformed. */
  private static void require(boolean holds) {
    if (!holds) {
      throw new IllegalArgumentException();
    }
  }
}
