package org.amberpath.leadership.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.amberpath.leadership.LeaseMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes a {@link LeaseMessage} as a sequence of MessagePack values that starts with
 * the version.
 */
@SuppressWarnings("EnumOrdinal") // Kinds are encoded by their ordinals.
final class LeaseMessageCodec {
  /** The pattern of valid task names in a message. */
  static final String TASK_PATTERN = "[a-z-]{1,32}";

  private static final int VERSION = 2;
  private static final LeaseMessage.Kind[] KINDS = LeaseMessage.Kind.values();

  private LeaseMessageCodec() {}

  static byte[] encode(LeaseMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer
          .packInt(VERSION)
          .packInt(message.kind().ordinal())
          .packString(message.task())
          .packLong(message.ballot())
          .packLong(message.detail())
          .packLong(message.lastAcceptedBallot());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Whether a number is in the range of ballots and terms. */
  static boolean isValidNumber(long value) {
    return value >= 0 && value <= LeaseMessage.HIGHEST_BALLOT;
  }

  /** Decodes a message. Returns empty if the bytes are of another version or invalid. */
  static Optional<LeaseMessage> decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int version = unpacker.unpackInt();
      int kind = unpacker.unpackInt();
      String task = unpacker.unpackString();
      long ballot = unpacker.unpackLong();
      long detail = unpacker.unpackLong();
      long lastAcceptedBallot = unpacker.unpackLong();
      boolean valid =
          version == VERSION
              && kind >= 0
              && kind < KINDS.length
              && task.matches(TASK_PATTERN)
              && isValidNumber(ballot)
              && isValidNumber(detail)
              && isValidNumber(lastAcceptedBallot)
              && !unpacker.hasNext();
      return valid
          ? Optional.of(new LeaseMessage(KINDS[kind], task, ballot, detail, lastAcceptedBallot))
          : Optional.empty();
    } catch (IOException | MessagePackException e) {
      return Optional.empty();
    }
  }
}
