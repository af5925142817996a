package org.amberpath.leadership.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.amberpath.leadership.LeaseMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** A vote as a letter: MessagePack values one after another, the version first. */
@SuppressWarnings("EnumOrdinal") // The order of the constants is the form on the wire.
final class LeaseMessageCodec {
  private static final int VERSION = 2;
  static final String TASK = "[a-z-]{1,32}";
  private static final LeaseMessage.Kind[] KINDS = LeaseMessage.Kind.values();

  private LeaseMessageCodec() {}

  static byte[] write(LeaseMessage vote) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(VERSION)
          .packInt(vote.kind().ordinal())
          .packString(vote.task())
          .packLong(vote.ballot())
          .packLong(vote.other())
          .packLong(vote.last());
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static boolean isNumber(long value) {
    return value >= 0 && value <= LeaseMessage.HIGHEST;
  }

  /** Null where it can't be read. */
  static LeaseMessage read(byte[] body) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      int version = in.unpackInt(), kind = in.unpackInt();
      String task = in.unpackString();
      long ballot = in.unpackLong(), other = in.unpackLong(), last = in.unpackLong();
      boolean good =
          version == VERSION
              && kind >= 0
              && kind < KINDS.length
              && task.matches(TASK)
              && isNumber(ballot)
              && isNumber(other)
              && isNumber(last)
              && !in.hasNext();
      return good ? new LeaseMessage(KINDS[kind], task, ballot, other, last) : null;
    } catch (IOException | MessagePackException e) {
      return null;
    }
  }
}
