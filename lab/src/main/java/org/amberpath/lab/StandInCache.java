package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
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
   * A request that came to a cache: its id, its traffic class, the source to fill from, and whether
   * it is executed.
   */
  public record ReceivedRequest(
      String cache, String request, String trafficClass, String source, boolean executes) {}

  private static final int MAX_MESSAGE_BYTES = 300_000;
  private static final int MAX_COPIES = 10_000;
  private static final int WANT_ELEMENTS = 4;

  private final Vertx vertx;
  private final String id;
  private final long hitMillis;
  private final long fillMillis;
  private final Function<String, StandInCache> cachesById;
  private final Set<NetSocket> sockets = new LinkedHashSet<>();
  private final Map<String, Long> copies =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_COPIES;
        }
      };
  private NetServer server;
  private String host = "127.0.0.1";
  private int port;
  private boolean hung;
  private Consumer<ReceivedRequest> listener = request -> {};
  private long lastRequestNanos;
  private long requestCount;
  private long hitCount;
  private long fillCount;
  private long connectionCount;

  /**
   * A cache that answers a hit after some milliseconds and a miss after some more, once its source
   * has given the part.
   *
   * @param cachesById finds a source by its id
   */
  public StandInCache(
      Vertx vertx,
      String id,
      long hitMillis,
      long fillMillis,
      Function<String, StandInCache> cachesById) {
    this.cachesById = cachesById;
    this.vertx = vertx;
    this.id = id;
    this.hitMillis = hitMillis;
    this.fillMillis = fillMillis;
  }

  /** Listens at another address of loopback. */
  public StandInCache listeningAt(String address) {
    host = address;
    return this;
  }

  /** Listens on a port from the system, or on the one that it had. */
  public Future<StandInCache> listen() {
    server = vertx.createNetServer(new NetServerOptions().setHost(host).setPort(port));
    server.connectHandler(this::connected);
    return server
        .listen()
        .map(
            ignored -> {
              port = ignored.actualPort();
              return this;
            });
  }

  /** Tells each request as it comes. */
  public StandInCache withListener(Consumer<ReceivedRequest> listener) {
    this.listener = listener;
    return this;
  }

  /** The id under which it is listed. */
  public String id() {
    return id;
  }

  /** The address at which it listens. */
  public String address() {
    return host + ":" + port;
  }

  /** When the last request came (nanoTime). */
  public long lastRequestNanos() {
    return lastRequestNanos;
  }

  /** How many requests came. */
  public long requestCount() {
    return requestCount;
  }

  /** How many were answered from a stored copy. */
  public long hitCount() {
    return hitCount;
  }

  /** How many connections were made to it. */
  public long connectionCount() {
    return connectionCount;
  }

  /** How many parts it gave to others. */
  public long fillCount() {
    return fillCount;
  }

  /** Keeps all connections open, and answers nothing. */
  public void hang() {
    hung = true;
  }

  /** Answers again. */
  public void resume() {
    hung = false;
  }

  /** Drops an object's copies, as a purge does in its own time. */
  public void drop(String object) {
    copies.keySet().removeIf(key -> key.startsWith(object + "/"));
  }

  /** Crashes: connections are reset, copies are gone. */
  @Override
  public void close() {
    server.close();
    copies.clear();
    new HashSet<>(sockets).forEach(NetSocket::close);
  }

  private void connected(NetSocket socket) {
    connectionCount++;
    sockets.add(socket);
    socket.closeHandler(ignored -> sockets.remove(socket));
    socket.exceptionHandler(e -> {});
    Set<String> openRequests = new HashSet<>();
    socket.handler(
        new ReplyReader(
            MAX_MESSAGE_BYTES,
            new ReplyReader.Sink() {
              @Override
              public void onReply(List<Buffer> elements) {
                String status = elements.get(0).toString();
                String request = elements.get(1).toString();
                if (status.equals("want") && elements.size() == WANT_ELEMENTS) {
                  openRequests.add(request);
                  requestReceived(socket, openRequests, request, elements.get(2).toString());
                } else {
                  openRequests.remove(request);
                }
              }

              @Override
              public void onProtocolError(String reason) {
                socket.close();
              }
            }));
  }

  private void requestReceived(
      NetSocket socket, Set<String> openRequests, String requestId, String encodedFields) {
    lastRequestNanos = System.nanoTime();
    requestCount++;
    StandInCacheRequest request = new StandInCacheRequest(encodedFields);
    String key = request.key();
    Long issuedAtMillis = copies.get(key);
    boolean hit = isFresh(issuedAtMillis, request.maxAgeMillis());
    StandInCache source = cachesById.apply(request.source());
    listener.accept(
        new ReceivedRequest(
            id, requestId, request.trafficClass(), request.source(), hit || source != null));
    if (!hit && source == null) {
      respond(socket, openRequests, requestId, "nothing", "res=n", "");
      return;
    }
    LongConsumer partReceived =
        filledAtMillis -> {
          if (hit) {
            hitCount++;
          } else if (request.stores()) {
            copies.put(key, filledAtMillis);
          }
          String result =
              "res="
                  + (hit ? "h" : "f")
                  + ",entity="
                  + Long.toHexString(filledAtMillis)
                  + ",issued="
                  + filledAtMillis;
          respond(socket, openRequests, requestId, "ok", result, key + "@" + filledAtMillis);
        };
    if (hit) {
      vertx.setTimer(hitMillis, timer -> partReceived.accept(issuedAtMillis));
    } else {
      vertx.setTimer(
          hitMillis + fillMillis, timer -> source.fill(key, request.maxAgeMillis(), partReceived));
    }
  }

  private static boolean isFresh(Long issuedAtMillis, long maxAgeMillis) {
    return issuedAtMillis != null
        && (maxAgeMillis == 0 || System.currentTimeMillis() - issuedAtMillis <= maxAgeMillis);
  }

  /**
   * Gives a part to another one: its own copy if that is young enough, or as the origin gives it
   * out now.
   */
  private void fill(String key, long maxAgeMillis, LongConsumer listener) {
    fillCount++;
    lastRequestNanos = System.nanoTime();
    Long issuedAtMillis = copies.get(key);
    StandInCache origin = cachesById.apply("o0");
    boolean holds = isFresh(issuedAtMillis, maxAgeMillis);
    if (!holds && origin != null && origin != this) {
      vertx.setTimer(
          fillMillis,
          asked ->
              origin.fill(
                  key,
                  maxAgeMillis,
                  filledAtMillis -> {
                    copies.put(key, filledAtMillis);
                    listener.accept(filledAtMillis);
                  }));
    } else if (!hung) {
      vertx.setTimer(
          hitMillis, timer -> listener.accept(holds ? issuedAtMillis : System.currentTimeMillis()));
    }
  }

  private void respond(
      NetSocket socket,
      Set<String> openRequests,
      String request,
      String status,
      String fields,
      String body) {
    if (!hung && openRequests.remove(request)) {
      socket.write(bulk(bulk(bulk(bulk(Buffer.buffer("*4\r\n"), request), status), fields), body));
    }
  }

  private static Buffer bulk(Buffer out, String text) {
    return out.appendString("$" + text.length() + "\r\n").appendString(text).appendString("\r\n");
  }
}
