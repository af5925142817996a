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
 * Stand-in for a cache, parent or origin on loopback that speaks the cache protocol. It stores
 * copies by object and part, each with the time at which the origin issued it, takes a fixed time
 * for a hit and a longer one for a miss, and counts requests, hits, fills and connections. Confined
 * to the event loop of its Vert.x instance.
 *
 * <p>Bounds: at most {@value #MAX_COPIES} copies; the copy that was stored first is evicted first.
 */
public final class StandInCache implements AutoCloseable {
  /**
   * A request that a cache received.
   *
   * @param cacheId the id of the cache that received it
   * @param requestId the id of the request
   * @param sourceId the id of the cache from which a miss is filled; empty for none
   * @param executes whether the cache executes the request: it holds a copy or finds the source
   */
  public record ReceivedRequest(
      String cacheId, String requestId, String trafficClass, String sourceId, boolean executes) {}

  private static final int MAX_MESSAGE_BYTES = 300_000;
  private static final int MAX_COPIES = 10_000;
  private static final int REQUEST_ELEMENTS = 4;

  private final Vertx vertx;
  private final String id;
  private final long hitMillis;
  private final long fillMillis;
  private final Function<String, StandInCache> cachesById;
  private final Set<NetSocket> openSockets = new LinkedHashSet<>();
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
   * Creates a cache that does not listen yet.
   *
   * @param hitMillis the delay of a response from a stored copy, in milliseconds
   * @param fillMillis the additional delay before a miss is requested from its source, in
   *     milliseconds
   * @param cachesById finds a source by its id; returns null for an unknown id
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

  /** Sets the loopback address on which this cache will listen. */
  public StandInCache withHost(String loopbackAddress) {
    host = loopbackAddress;
    return this;
  }

  /**
   * Listens on a port that the system chooses or, after an earlier call, on the same port again.
   */
  public Future<StandInCache> listen() {
    server = vertx.createNetServer(new NetServerOptions().setHost(host).setPort(port));
    server.connectHandler(this::onConnected);
    return server
        .listen()
        .map(
            listeningServer -> {
              port = listeningServer.actualPort();
              return this;
            });
  }

  /** Sets the listener that is notified of each request on its arrival. */
  public StandInCache withListener(Consumer<ReceivedRequest> requestListener) {
    listener = requestListener;
    return this;
  }

  /** Returns the id under which this cache is listed. */
  public String id() {
    return id;
  }

  /** Returns HOST:PORT on which this cache listens. */
  public String address() {
    return host + ":" + port;
  }

  /** Returns when the last request or fill arrived ({@link System#nanoTime}). */
  public long lastRequestNanos() {
    return lastRequestNanos;
  }

  /** Returns the number of requests received. */
  public long requestCount() {
    return requestCount;
  }

  /** Returns the number of requests answered from a stored copy. */
  public long hitCount() {
    return hitCount;
  }

  /** Returns the number of connections accepted. */
  public long connectionCount() {
    return connectionCount;
  }

  /** Returns the number of fills that other caches requested from this one. */
  public long fillCount() {
    return fillCount;
  }

  /** Hangs: keeps all connections open and sends no responses. */
  public void hang() {
    hung = true;
  }

  /** Ends a hang; responses are sent again. */
  public void resume() {
    hung = false;
  }

  /** Drops all stored parts of an object, as a cache does when it carries out a purge. */
  public void dropObject(String object) {
    copies.keySet().removeIf(key -> key.startsWith(object + "/"));
  }

  /** Crashes: stops listening, drops all copies and closes all connections. */
  @Override
  public void close() {
    server.close();
    copies.clear();
    new HashSet<>(openSockets).forEach(NetSocket::close);
  }

  private void onConnected(NetSocket socket) {
    connectionCount++;
    openSockets.add(socket);
    socket.closeHandler(ignored -> openSockets.remove(socket));
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
                if (status.equals("want") && elements.size() == REQUEST_ELEMENTS) {
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
    StandInCache source = cachesById.apply(request.sourceId());
    listener.accept(
        new ReceivedRequest(
            id, requestId, request.trafficClass(), request.sourceId(), hit || source != null));
    if (!hit && source == null) {
      respond(socket, openRequests, requestId, "nothing", "res=n", "");
      return;
    }
    LongConsumer respondWithPart =
        filledAtMillis -> {
          if (hit) {
            hitCount++;
          } else if (request.storesFilledPart()) {
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
      vertx.setTimer(hitMillis, timer -> respondWithPart.accept(issuedAtMillis));
    } else {
      vertx.setTimer(
          hitMillis + fillMillis,
          timer -> source.fill(key, request.maxAgeMillis(), respondWithPart));
    }
  }

  private static boolean isFresh(Long issuedAtMillis, long maxAgeMillis) {
    return issuedAtMillis != null
        && (maxAgeMillis == 0 || System.currentTimeMillis() - issuedAtMillis <= maxAgeMillis);
  }

  /**
   * Fills another cache with a part: from its own copy if that is fresh enough, else with a copy
   * that the origin issues now.
   */
  private void fill(String key, long maxAgeMillis, LongConsumer completion) {
    fillCount++;
    lastRequestNanos = System.nanoTime();
    Long issuedAtMillis = copies.get(key);
    StandInCache origin = cachesById.apply("o0");
    boolean hasFreshCopy = isFresh(issuedAtMillis, maxAgeMillis);
    if (!hasFreshCopy && origin != null && origin != this) {
      vertx.setTimer(
          fillMillis,
          fillTimer ->
              origin.fill(
                  key,
                  maxAgeMillis,
                  filledAtMillis -> {
                    copies.put(key, filledAtMillis);
                    completion.accept(filledAtMillis);
                  }));
    } else if (!hung) {
      vertx.setTimer(
          hitMillis,
          timer -> completion.accept(hasFreshCopy ? issuedAtMillis : System.currentTimeMillis()));
    }
  }

  private void respond(
      NetSocket socket,
      Set<String> openRequests,
      String requestId,
      String status,
      String fields,
      String body) {
    if (!hung && openRequests.remove(requestId)) {
      socket.write(
          appendBulkString(
              appendBulkString(
                  appendBulkString(appendBulkString(Buffer.buffer("*4\r\n"), requestId), status),
                  fields),
              body));
    }
  }

  private static Buffer appendBulkString(Buffer buffer, String text) {
    return buffer
        .appendString("$" + text.length() + "\r\n")
        .appendString(text)
        .appendString("\r\n");
  }
}
