package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.amberpath.gateway.cache.ReplyReader;

/**
 * A cache, parent or origin on loopback. It holds copies by object and part, each with the time at
 * which the origin gave it out, fills a miss in some milliseconds, and keeps what came when.
 *
 * <p>Bounds: the copies that its clients ask for, at most 10,000, the oldest forgotten first.
 */
public final class StandInCache implements AutoCloseable {
  /**
   * What came to a cache: the request's id, its delivery service, the source to fill from, and
   * whether it runs.
   */
  public record Wanted(String cache, String request, String service, String source, boolean runs) {}

  private static final int LONGEST = 300_000, MOST_COPIES = 10_000, WORDS = 4;

  private final Vertx vertx;
  private final String id;
  private final long answerMs, fillMs;
  private final Function<String, StandInCache> others;
  private final Set<NetSocket> sockets = new LinkedHashSet<>();
  private final Map<String, Long> copies =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MOST_COPIES;
        }
      };
  private NetServer server;
  private String host = "127.0.0.1";
  private int port;
  private boolean hangs;
  private Consumer<Wanted> listener = wanted -> {};
  private long lastWantAt, wants, hits, fills, connections;

  /**
   * A cache that answers a hit after answerMs and a miss after fillMs more, once its source has
   * given the part.
   *
   * @param others finds a source by its id
   */
  public StandInCache(
      Vertx vertx, String id, long answerMs, long fillMs, Function<String, StandInCache> others) {
    this.others = others;
    this.vertx = vertx;
    this.id = id;
    this.answerMs = answerMs;
    this.fillMs = fillMs;
  }

  /** Listens at another address of loopback. */
  public StandInCache at(String address) {
    host = address;
    return this;
  }

  /** Listens on a port from the system, or on the one that it had. */
  public Future<StandInCache> listen() {
    server = vertx.createNetServer(new NetServerOptions().setHost(host).setPort(port));
    server.connectHandler(this::take);
    return server
        .listen()
        .map(
            up -> {
              port = up.actualPort();
              return this;
            });
  }

  /** Tells each GET as it comes. */
  public StandInCache telling(Consumer<Wanted> to) {
    listener = to;
    return this;
  }

  public String id() {
    return id;
  }

  public String address() {
    return host + ":" + port;
  }

  /** When the last GET came, by System.nanoTime. */
  public long lastWantAt() {
    return lastWantAt;
  }

  public long wants() {
    return wants;
  }

  public long hits() {
    return hits;
  }

  /** How many connections were made to it. */
  public long connections() {
    return connections;
  }

  /** How many parts it gave to others. */
  public long fills() {
    return fills;
  }

  /** Keeps all connections open and says nothing, or goes on. */
  public void hang(boolean still) {
    hangs = still;
  }

  /** Drops an object's copies, as a purge does in its own time. */
  public void drop(String object) {
    copies.keySet().removeIf(key -> key.startsWith(object + "/"));
  }

  /** Dies: connections are reset, copies are gone. */
  @Override
  public void close() {
    server.close();
    copies.clear();
    new HashSet<>(sockets).forEach(NetSocket::close);
  }

  private void take(NetSocket socket) {
    connections++;
    sockets.add(socket);
    socket.closeHandler(closed -> sockets.remove(socket));
    socket.exceptionHandler(e -> {});
    Set<String> open = new HashSet<>();
    socket.handler(
        new ReplyReader(
            LONGEST,
            new ReplyReader.Sink() {
              @Override
              public void onReply(List<Buffer> elements) {
                String word = elements.get(0).toString(), request = elements.get(1).toString();
                if (word.equals("want") && elements.size() == WORDS) {
                  open.add(request);
                  want(socket, open, request, elements.get(2).toString());
                } else {
                  open.remove(request);
                }
              }

              @Override
              public void onProtocolError(String reason) {
                socket.close();
              }
            }));
  }

  private void want(NetSocket socket, Set<String> open, String request, String list) {
    lastWantAt = System.nanoTime();
    wants++;
    Map<String, String> fields = new HashMap<>();
    for (String field : list.split(",", -1)) {
      int equals = field.indexOf('=');
      if (equals > 0) {
        fields.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    String key = fields.get("obj") + "/" + fields.get("seg");
    long now = System.currentTimeMillis();
    Long issued = copies.get(key);
    long oldest = Long.parseLong(fields.getOrDefault("within", "0"));
    boolean hit = issued != null && (oldest == 0 || now - issued <= oldest);
    StandInCache source = others.apply(fields.getOrDefault("miss", ""));
    listener.accept(
        new Wanted(
            id,
            request,
            fields.get("kind"),
            fields.getOrDefault("miss", ""),
            hit || source != null));
    if (!hit && source == null) {
      answer(socket, open, request, "nothing", "res=n", "");
      return;
    }
    LongConsumer given =
        issuedMs -> {
          if (hit) {
            hits++;
          } else if (Integer.parseInt(fields.getOrDefault("prio", "0")) > 0) {
            copies.put(key, issuedMs);
          }
          answer(
              socket,
              open,
              request,
              "ok",
              "res="
                  + (hit ? "h" : "f")
                  + ",entity="
                  + Long.toHexString(issuedMs)
                  + ",issued="
                  + issuedMs,
              key + "@" + issuedMs);
        };
    if (hit) {
      vertx.setTimer(answerMs, done -> given.accept(issued));
    } else {
      vertx.setTimer(answerMs + fillMs, done -> source.fill(key, oldest, given));
    }
  }

  /**
   * Gives a part to another one: its own copy if that is young enough, or as the origin gives it
   * out now.
   */
  private void fill(String key, long oldest, LongConsumer to) {
    fills++;
    lastWantAt = System.nanoTime();
    long now = System.currentTimeMillis();
    Long issued = copies.get(key);
    StandInCache origin = others.apply("o0");
    boolean holds = issued != null && (oldest == 0 || now - issued <= oldest);
    if (!holds && origin != null && origin != this) {
      vertx.setTimer(
          fillMs,
          asked ->
              origin.fill(
                  key,
                  oldest,
                  issuedMs -> {
                    copies.put(key, issuedMs);
                    to.accept(issuedMs);
                  }));
    } else if (!hangs) {
      vertx.setTimer(answerMs, done -> to.accept(holds ? issued : System.currentTimeMillis()));
    }
  }

  private void answer(
      NetSocket socket, Set<String> open, String request, String word, String fields, String body) {
    if (!hangs && open.remove(request)) {
      socket.write(bulk(bulk(bulk(bulk(Buffer.buffer("*4\r\n"), request), word), fields), body));
    }
  }

  private static Buffer bulk(Buffer out, String text) {
    return out.appendString("$" + text.length() + "\r\n").appendString(text).appendString("\r\n");
  }
}
