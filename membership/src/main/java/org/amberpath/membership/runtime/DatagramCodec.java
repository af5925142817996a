package org.amberpath.membership.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.runtime.DecodedDatagram.Rejected;
import org.amberpath.membership.runtime.DecodedDatagram.RejectionReason;
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
  static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,32}";

  private static final String ADDRESS_PATTERN = "[0-9.]{7,15}:[0-9]{1,5}";
  private static final int FORMAT_VERSION = 1;
  private static final int HAS_MORE_FLAG = 1;
  private static final int FULLY_SYNCED_FLAG = 2;
  private static final GossipMessage.Kind[] KINDS = GossipMessage.Kind.values();
  private static final int USER_MESSAGE_KIND = KINDS.length;
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
  public byte[] encode(GossipMessage message, HmacKeyring keyring) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packHeader(packer, keyring);
      packer
          .packInt(message.kind().ordinal())
          .packLong(message.recipientInstanceId())
          .packLong(message.sequenceNumber())
          .packLong(message.probeNumber())
          .packLong(message.countedDigest())
          .packLong(message.presentDigest());
      if (message.subject() == null) {
        packer.packNil();
      } else {
        packer.packString(message.subject());
      }
      packer.packInt(
          (message.hasMore() ? HAS_MORE_FLAG : 0)
              + (message.fullySynced() ? FULLY_SYNCED_FLAG : 0));
      packer.packArrayHeader(message.updates().size());
      pack(packer, message.sender());
      for (MemberUpdate update : message.updates()) {
        pack(packer, update);
      }
      return appendSignature(packer.toByteArray(), keyring);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Encodes a user message, and signs it with the keyring's first key. */
  public byte[] encode(UserMessage message, HmacKeyring keyring) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packHeader(packer, keyring);
      packer
          .packInt(USER_MESSAGE_KIND)
          .packLong(message.recipientInstanceId())
          .packLong(message.sequenceNumber());
      pack(packer, message.sender());
      packer.packBinaryHeader(message.body().length).writePayload(message.body());
      return appendSignature(packer.toByteArray(), keyring);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void packHeader(MessageBufferPacker packer, HmacKeyring keyring) throws IOException {
    packer.packInt(FORMAT_VERSION).packString(fleet).packString(keyring.signingKeyId());
  }

  private static void pack(MessageBufferPacker packer, MemberUpdate update) throws IOException {
    packer
        .packString(update.name())
        .packString(update.address())
        .packLong(update.incarnation())
        .packLong(update.instanceId())
        .packInt(update.status().ordinal())
        .packString(update.reporter());
  }

  private static byte[] appendSignature(byte[] bytes, HmacKeyring keyring) {
    byte[] signed = Arrays.copyOf(bytes, bytes.length + HmacKeyring.SIGNATURE_BYTES);
    System.arraycopy(keyring.sign(bytes), 0, signed, bytes.length, HmacKeyring.SIGNATURE_BYTES);
    return signed;
  }

  /** Decodes and verifies a datagram, or returns why it is rejected; never throws for any bytes. */
  public DecodedDatagram decode(byte[] datagram, HmacKeyring keyring) {
    int length = datagram.length - HmacKeyring.SIGNATURE_BYTES;
    if (length <= 0 || datagram.length > MAX_DATAGRAM_BYTES) {
      return new Rejected(RejectionReason.MALFORMED);
    }
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(datagram, 0, length)) {
      if (unpacker.unpackInt() != FORMAT_VERSION) {
        return new Rejected(RejectionReason.UNSUPPORTED_VERSION);
      }
      if (!unpacker.unpackString().equals(fleet)) {
        return new Rejected(RejectionReason.WRONG_FLEET);
      }
      String keyId = unpacker.unpackString();
      if (!keyring.contains(keyId)) {
        return new Rejected(RejectionReason.UNKNOWN_KEY);
      }
      if (!keyring.verify(keyId, datagram)) {
        return new Rejected(RejectionReason.INVALID_SIGNATURE);
      }
      int kind = requireBelow(unpacker.unpackInt(), KINDS.length + 1);
      return kind == USER_MESSAGE_KIND
          ? new DecodedDatagram.User(unpackUserMessage(unpacker))
          : new DecodedDatagram.Gossip(unpackGossip(KINDS[kind], unpacker));
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return new Rejected(RejectionReason.MALFORMED);
    }
  }

  private static UserMessage unpackUserMessage(MessageUnpacker unpacker) throws IOException {
    long recipientInstanceId = unpacker.unpackLong();
    long sequenceNumber = unpacker.unpackLong();
    MemberUpdate sender = unpackUpdate(unpacker);
    byte[] body =
        unpacker.readPayload(requireBelow(unpacker.unpackBinaryHeader(), MAX_PAYLOAD_BYTES + 1));
    requireValid(!unpacker.hasNext() && sequenceNumber > 0);
    return new UserMessage(sender, recipientInstanceId, sequenceNumber, body);
  }

  private GossipMessage unpackGossip(GossipMessage.Kind kind, MessageUnpacker unpacker)
      throws IOException {
    long recipientInstanceId = unpacker.unpackLong();
    long sequenceNumber = unpacker.unpackLong();
    long probeNumber = unpacker.unpackLong();
    long countedDigest = unpacker.unpackLong();
    long presentDigest = unpacker.unpackLong();
    String subject = unpacker.tryUnpackNil() ? null : unpackMatching(unpacker, NAME_PATTERN);
    int flags = requireBelow(unpacker.unpackInt(), HAS_MORE_FLAG + FULLY_SYNCED_FLAG + 1);
    boolean hasMore = (flags & HAS_MORE_FLAG) != 0;
    int count = requireBelow(unpacker.unpackArrayHeader(), maxUpdates + 1);
    MemberUpdate sender = unpackUpdate(unpacker);
    List<MemberUpdate> updates = new ArrayList<>(count);
    for (int update = 0; update < count; update++) {
      updates.add(unpackUpdate(unpacker));
    }
    requireValid(!unpacker.hasNext() && sequenceNumber > 0);
    requireValid(kind != GossipMessage.Kind.ASK || subject != null);
    requireValid(kind != GossipMessage.Kind.PAGE || !hasMore || count > 0);
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

  private static MemberUpdate unpackUpdate(MessageUnpacker unpacker) throws IOException {
    String name = unpackMatching(unpacker, NAME_PATTERN);
    String address = unpackMatching(unpacker, ADDRESS_PATTERN);
    long incarnation = unpacker.unpackLong();
    long instanceId = unpacker.unpackLong();
    requireValid(incarnation >= 0);
    MemberStatus status = STATUSES[requireBelow(unpacker.unpackInt(), STATUSES.length)];
    String reporter = unpackMatching(unpacker, NAME_PATTERN);
    return new MemberUpdate(name, address, incarnation, instanceId, status, reporter);
  }

  private static String unpackMatching(MessageUnpacker unpacker, String pattern)
      throws IOException {
    String text = unpacker.unpackString();
    requireValid(text.matches(pattern));
    return text;
  }

  private static int requireBelow(int value, int bound) {
    requireValid(value >= 0 && value < bound);
    return value;
  }

  /** Ends the decoding of a datagram that is correctly signed but malformed. */
  private static void requireValid(boolean valid) {
    if (!valid) {
      throw new IllegalArgumentException();
    }
  }
}
