package org.amberpath.leadership.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * What gateways tell one another of tasks, besides votes, as letters: MessagePack values one after
 * another.
 */
@SuppressWarnings("EnumOrdinal") // The order of the constants is the form on the wire.
final class HealthReportCodec {
  /**
   * ASK: which caches are to be tried. HEARD: which answer. WORD: what came of their trials.
   * OUTRANKED: a higher term was seen. STOPPED: the owner of a term does nothing more under it.
   */
  enum Kind {
    ASK,
    HEARD,
    WORD,
    OUTRANKED,
    STOPPED
  }

  /**
   * Of ASK: stamp and caches. Of WORD: term, what came of the trials of each, and the stamp that it
   * answers or 0.
   */
  record Word(Kind kind, String task, long term, long stamp, Map<String, HealthReport> caches) {
    static Word of(Kind kind, String task, long term) {
      return new Word(kind, task, term, 0, Map.of());
    }

    static Word ask(String task, long stamp, List<String> caches) {
      Map<String, HealthReport> asked = new TreeMap<>();
      caches.forEach(cache -> asked.put(cache, new HealthReport(false, -1)));
      return new Word(Kind.ASK, task, 0, stamp, asked);
    }

    List<String> names() {
      return new ArrayList<>(caches.keySet());
    }
  }

  /** Votes are of another number, so that neither is taken for the other. */
  private static final int VERSION = 101, MOST = 16, LONGEST_NAME = 64;

  private static final Kind[] KINDS = Kind.values();

  private HealthReportCodec() {}

  /** Whether a cache's name fits into a letter. */
  static boolean fits(String cache) {
    return cache.length() <= LONGEST_NAME && cache.matches("[\\x21-\\x7e]+");
  }

  static byte[] write(Word word) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(VERSION)
          .packInt(word.kind.ordinal())
          .packString(word.task)
          .packLong(word.term)
          .packLong(word.stamp)
          .packArrayHeader(word.caches.size());
      for (Map.Entry<String, HealthReport> one : word.caches.entrySet()) {
        out.packString(one.getKey())
            .packBoolean(one.getValue().responded())
            .packLong(one.getValue().ageNanos());
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Null where it can't be read. */
  static Word read(byte[] body) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      int version = in.unpackInt(), kind = in.unpackInt();
      String task = in.unpackString();
      long term = in.unpackLong(), stamp = in.unpackLong();
      int many = in.unpackArrayHeader();
      if (version != VERSION
          || kind < 0
          || kind >= KINDS.length
          || !task.matches(LeaseMessageCodec.TASK)
          || !LeaseMessageCodec.isNumber(term)
          || many > MOST) {
        return null;
      }
      Map<String, HealthReport> caches = new TreeMap<>();
      for (int one = 0; one < many; one++) {
        String cache = in.unpackString();
        boolean answers = in.unpackBoolean();
        long ago = in.unpackLong();
        if (!fits(cache) || ago < -1) {
          return null;
        }
        caches.put(cache, new HealthReport(answers, ago));
      }
      return in.hasNext() ? null : new Word(KINDS[kind], task, term, stamp, caches);
    } catch (IOException | MessagePackException e) {
      return null;
    }
  }
}
