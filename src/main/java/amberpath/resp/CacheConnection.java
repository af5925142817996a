package amberpath.resp;

import amberpath.Arrivals.Note;
import amberpath.Arrivals.Outcome;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/** One connection to a cache: many wants at once, answers in any order. */
final class CacheConnection implements ReplyReader.Sink {
  private static final Logger LOG = Logger.getLogger(CacheConnection.class.getName());
  private static final String NOTES = "hfojsrblnx";

  private final CachePool pool;
  private final NetSocket socket;
  private final Map<String, Want> open = new LinkedHashMap<>();
  private boolean closed;
  private long heardAt;
  private long usedAt;
  private boolean silent;

  CacheConnection(CachePool pool, NetSocket socket, int longest, long now) {
    this.pool = pool;
    this.socket = socket;
    heardAt = now;
    usedAt = now;
    ReplyReader reader = new ReplyReader(longest, this);
    socket.handler(bytes -> {
      heardAt = pool.now();
      silent = false;
      reader.handle(bytes);
    });
    socket.exceptionHandler(e -> LOG.fine(() -> pool + ": " + e));
    socket.closeHandler(v -> gone());
  }

  int load() {
    return open.size();
  }

  /** How long nobody has used it. */
  long idle(long now) {
    return open.isEmpty() ? now - usedAt : 0;
  }

  /** Whether a want was waited for in vain and nothing has come since: the peer may have vanished. */
  boolean silent() {
    return silent;
  }

  void send(Want want, long now) {
    want.on = this;
    want.writtenAt = now;
    usedAt = now;
    open.put(want.key, want);
    socket.write(want.encode(now));
  }

  /** Gives one up; an answer that crosses this is dropped. */
  void neverMind(Want want, long patience) {
    if (open.remove(want.key, want) && !closed) {
      // Guards against a peer that vanished: a dead connection takes no new wants. One slow answer is no proof,
      // so what is open on it goes on.
      silent |= heardAt < want.writtenAt && pool.now() - want.writtenAt > patience;
      socket.write(want.encodeNeverMind());
      if (silent && open.isEmpty()) {
        close();
      }
    }
  }

  @Override public void reply(List<Buffer> elements) {
    Want want = open.remove(text(elements.get(0)));
    if (want == null) {
      return;
    }
    usedAt = heardAt;
    String word = elements.size() > 1 ? text(elements.get(1)) : "";
    Note note = elements.size() > 2 ? note(text(elements.get(2))) : Note.NOTHING;
    switch (word) {
      case "ok" -> {
        if (elements.size() > 3) {
          want.ended(Outcome.RETURNED, note, elements.get(3));
        } else {
          unreadable(want, "ok without bytes");
        }
      }
      case "current" -> want.ended(Outcome.RETURNED, note, null);
      case "nothing" -> want.ended(Outcome.NOT_STORED, note, null);
      case "refused" -> want.ended(Outcome.TURNED_AWAY, note, null);
      case "error" -> want.ended(Outcome.ERRORED, note, null);
      case "stale" -> want.ended(Outcome.NOT_SENT, note, null);
      default -> unreadable(want, "answer '" + word + "'");
    }
  }

  private void unreadable(Want want, String why) {
    open.put(want.key, want);
    unreadable(why);
  }

  @Override public void unreadable(String why) {
    LOG.warning(pool + ": closed: " + why);
    close();
  }

  private static Note note(String fields) {
    for (String field : fields.split(",")) {
      if (field.startsWith("res=") && field.length() == 5 && NOTES.indexOf(field.charAt(4)) >= 0) {
        return Note.values()[NOTES.indexOf(field.charAt(4)) + 1];
      }
    }
    return Note.NOTHING;
  }

  private static String text(Buffer bytes) {
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
      List<Want> lost = new ArrayList<>(open.values());
      open.clear();
      lost.forEach(want -> want.ended(Outcome.LOST, Note.NOTHING, null));
    }
  }
}
