package org.amberpath.gateway.cache;

import io.netty.channel.Channel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.routing.RoutingEvents.Note;
import org.amberpath.routing.RoutingEvents.Outcome;

/** One connection to a cache: many wants at once, answers in any order. */
final class CacheConnection implements ReplyReader.Sink {
  private static final String NOTES = "hfojsrblnx";
  private static final Note[] NOTE = Note.values();
  private static final int ELEMENTS = 4;

  private final CachePool pool;
  private final NetSocket socket;
  private final Map<String, CacheCommand> open = new LinkedHashMap<>();
  private final ReplyReader reader;

  /**
   * Silent: a want was waited for in vain and nothing has come since, so the peer may have
   * vanished.
   */
  private boolean closed, silent;

  private long heardAt, usedAt;

  CacheConnection(CachePool pool, NetSocket socket, int longest, long now) {
    this.pool = pool;
    this.socket = socket;
    heardAt = now;
    usedAt = now;
    reader = new ReplyReader(longest, this);
    socket.handler(
        bytes -> {
          heardAt = pool.now();
          silent = false;
          reader.handle(bytes);
        });
    socket.exceptionHandler(e -> {}); // The close that follows says it all.
    socket.closeHandler(v -> gone());
  }

  int load() {
    return open.size();
  }

  /** How long nobody has used it. */
  long idle(long now) {
    return open.isEmpty() ? now - usedAt : 0;
  }

  /**
   * Whether a new want may go on it. Guards against a peer that does not read, behind whose bytes a
   * want would be sent at a time of its own, past drains and withdrawals; and against half an
   * answer to nobody, which spoils the next.
   */
  boolean takes() {
    return !silent && !(open.isEmpty() && reader.midway()) && !stuck();
  }

  private boolean stuck() {
    Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
    return channel.bytesBeforeUnwritable() < channel.config().getWriteBufferHighWaterMark();
  }

  void send(CacheCommand want, long now) {
    want.on = this;
    want.writtenAt = now;
    usedAt = now;
    open.put(want.key, want);
    socket.write(want.encode(now));
  }

  /** Gives one up; an answer that crosses this is dropped. */
  void neverMind(CacheCommand want, boolean late, long patience) {
    if (open.remove(want.key, want) && !closed) {
      // Guards against a peer that vanished: a dead connection takes no new wants. One slow answer
      // is no proof,
      // so what is open on it goes on.
      silent |= heardAt < want.writtenAt && pool.now() - want.writtenAt > patience;
      // Guards against answers that stop short: what would come next on that connection is of no
      // use.
      if (open.isEmpty() && (late || silent || reader.midway())) {
        close();
      } else {
        socket.write(want.encodeNeverMind());
      }
    }
  }

  /**
   * Only what is whole, readable and meant for what is open here is an answer; more than that is
   * dropped.
   */
  @Override
  public void reply(List<Buffer> elements) {
    CacheCommand want = open.get(text(elements.get(0)));
    if (want == null) {
      return;
    }
    Outcome outcome = outcome(elements, want.asksForCopy());
    // Guards clients against word that a copy is current which the cache did not name.
    if (outcome == null
        || (text(elements.get(1)).equals("current")
            && !want.isKnown(value(text(elements.get(2)), "entity=")))) {
      unreadable("an answer that can't be read");
      return;
    }
    open.remove(want.key);
    usedAt = heardAt;
    want.ended(
        outcome,
        note(text(elements.get(2))),
        text(elements.get(1)).equals("ok") ? elements.get(3) : null);
  }

  /** What an answer says; null where it is not whole or of no known kind. */
  static Outcome outcome(List<Buffer> elements, boolean copy) {
    if (elements.size() != ELEMENTS) {
      return null;
    }
    return switch (text(elements.get(1))) {
      case "ok" -> !copy || isCopy(text(elements.get(2))) ? Outcome.RETURNED : null;
      case "current" -> isCopy(text(elements.get(2))) ? Outcome.RETURNED : null;
      case "nothing" -> Outcome.NOT_STORED;
      case "refused" -> Outcome.TURNED_AWAY;
      case "error" -> Outcome.ERRORED;
      case "stale" -> Outcome.NOT_SENT;
      default -> null;
    };
  }

  @Override
  public void unreadable(String why) {
    if (!closed) {
      pool.complain(why);
      close();
    }
  }

  /** A copy has a tag and the time at which the origin gave it out. */
  private static boolean isCopy(String fields) {
    String issued = value(fields, "issued=");
    return !value(fields, "entity=").isEmpty()
        && !issued.isEmpty()
        && issued.chars().allMatch(one -> one >= '0' && one <= '9');
  }

  static Note note(String fields) {
    String note = value(fields, "res=");
    int place = note.length() == 1 ? NOTES.indexOf(note) : -1;
    return place < 0 ? Note.NOTHING : NOTE[place + 1];
  }

  private static String value(String fields, String name) {
    int at = fields.startsWith(name) ? 0 : fields.indexOf("," + name) + 1;
    if (at == 0 && !fields.startsWith(name)) {
      return "";
    }
    int end = fields.indexOf(',', at);
    return fields.substring(at + name.length(), end < 0 ? fields.length() : end);
  }

  static String text(Buffer bytes) {
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  void close() {
    // Guards against a peer that vanished: a plain close would wait until it has read all.
    ((NetSocketInternal) socket).channelHandlerContext().close();
    gone();
  }

  private void gone() {
    if (!closed) {
      closed = true;
      pool.closed(this);
      List<CacheCommand> lost = new ArrayList<>(open.values());
      open.clear();
      lost.forEach(want -> want.ended(Outcome.LOST, Note.NOTHING, null));
    }
  }
}
