package org.amberpath.leadership.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes a {@link TaskMessage} as a sequence of MessagePack values that starts with
 * the version.
 */
@SuppressWarnings("EnumOrdinal") // Kinds are encoded by their ordinals.
final class HealthReportCodec {
  /** Differs from the version of lease messages, so that neither is decoded as the other. */
  private static final int VERSION = 101;

  private static final int MAX_REPORTS = 16;
  private static final int MAX_NAME_LENGTH = 64;
  private static final TaskMessage.Kind[] KINDS = TaskMessage.Kind.values();

  private HealthReportCodec() {}

  /** Whether an endpoint's name is valid in a message. */
  static boolean isValidName(String endpoint) {
    return endpoint.length() <= MAX_NAME_LENGTH && endpoint.matches("[\\x21-\\x7e]+");
  }

  static byte[] encode(TaskMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer
          .packInt(VERSION)
          .packInt(message.kind().ordinal())
          .packString(message.task())
          .packLong(message.term())
          .packLong(message.requestNanos())
          .packArrayHeader(message.reports().size());
      for (Map.Entry<String, HealthReport> report : message.reports().entrySet()) {
        packer
            .packString(report.getKey())
            .packBoolean(report.getValue().responded())
            .packLong(report.getValue().ageNanos());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Decodes a message. Returns empty if the bytes are of another version or invalid. */
  static Optional<TaskMessage> decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int version = unpacker.unpackInt();
      int kind = unpacker.unpackInt();
      String task = unpacker.unpackString();
      long term = unpacker.unpackLong();
      long requestNanos = unpacker.unpackLong();
      int count = unpacker.unpackArrayHeader();
      if (version != VERSION
          || kind < 0
          || kind >= KINDS.length
          || !task.matches(LeaseMessageCodec.TASK_PATTERN)
          || !LeaseMessageCodec.isValidNumber(term)
          || count > MAX_REPORTS) {
        return Optional.empty();
      }
      Map<String, HealthReport> reports = new TreeMap<>();
      for (int index = 0; index < count; index++) {
        String endpoint = unpacker.unpackString();
        boolean responded = unpacker.unpackBoolean();
        long ageNanos = unpacker.unpackLong();
        if (!isValidName(endpoint) || ageNanos < -1) {
          return Optional.empty();
        }
        reports.put(endpoint, new HealthReport(responded, ageNanos));
      }
      return unpacker.hasNext()
          ? Optional.empty()
          : Optional.of(new TaskMessage(KINDS[kind], task, term, requestNanos, reports));
    } catch (IOException | MessagePackException e) {
      return Optional.empty();
    }
  }
}
