package org.amberpath.lab.registry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * A registry on loopback: several endpoints over one history, speaking both published forms, with
 * the failures that they have in service. Runs on the event loop of a Vert.x with one.
 *
 * <p>Bounds: what the history is told to keep, and the connections that its clients open.
 */
public final class StandInRegistry {
  /** How an endpoint treats what is asked of it. */
  public enum Way {
    ANSWERS,
    SILENT,
    REFUSES,
    UNAVAILABLE,
    UNAUTHORISED
  }

  private static final int OUT_OF_RANGE = 11, UNAVAILABLE = 14, UNAUTHENTICATED = 16;

  private final Vertx vertx;
  private final HttpServerOptions options;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private RevisionedStore<byte[]> history = new RevisionedStore<>("101");
  private long lastLease;

  /** The token that is asked for; empty for none. */
  private String token = "";

  /** Options may hold what TLS takes. */
  public StandInRegistry(Vertx vertx, HttpServerOptions options) {
    this.vertx = vertx;
    this.options = options;
  }

  /** Another endpoint, on a port from the system unless one is given. */
  public Future<Endpoint> open(int port) {
    Endpoint endpoint = new Endpoint(port);
    endpoints.add(endpoint);
    return endpoint.listen().map(endpoint);
  }

  public List<Endpoint> endpoints() {
    return endpoints;
  }

  public void askFor(String wanted) {
    token = wanted;
  }

  public long revision() {
    return history.revision();
  }

  /** The keys as they stand. */
  public Map<String, byte[]> now() {
    Map<String, byte[]> now = new TreeMap<>();
    history.now().forEach((key, kept) -> now.put(key, kept.value()));
    return now;
  }

  /** Writes keys in one transaction; a null value deletes. */
  public long write(Map<String, byte[]> writes) {
    long before = history.revision();
    history.write(writes);
    if (history.revision() > before) {
      endpoints.forEach(Endpoint::offer);
    }
    return history.revision();
  }

  /** Forgets all states before the last so many revisions. */
  public void compact(long kept) {
    history.compact(history.revision() - kept);
  }

  /** A backup as of now, to be restored under its own id or another one. */
  public Runnable backup(String cluster) {
    RevisionedStore<byte[]> copy = history.copy(cluster.isEmpty() ? history.cluster : cluster);
    return () -> history = copy;
  }

  /** Keys that go with it, unless it is kept. */
  private final class Lease {
    final long seconds;
    final Set<String> keys = new LinkedHashSet<>();
    private long timer = -1;

    Lease(long id, long seconds) {
      this.seconds = seconds;
      keep(id);
    }

    void keep(long id) {
      vertx.cancelTimer(timer);
      timer = vertx.setTimer(Math.max(1, seconds * 1000), over -> end(id));
    }

    void end(long id) {
      vertx.cancelTimer(timer);
      leases.remove(id);
      Map<String, byte[]> gone = new TreeMap<>();
      keys.forEach(key -> gone.put(key, null));
      if (!gone.isEmpty()) {
        write(gone);
      }
    }
  }

  /** One endpoint. */
  public final class Endpoint {
    private final Set<HttpConnection> connections = new LinkedHashSet<>();
    private final Set<Watcher> watchers = new LinkedHashSet<>();
    private HttpServer server;
    private int port;
    private Way way = Way.ANSWERS;
    private long lagMs, goodSince = System.nanoTime();

    private Endpoint(int port) {
      this.port = port;
    }

    public int port() {
      return port;
    }

    /** Whether it has answered well for so long, in nanoseconds. */
    public boolean goodFor(long time) {
      return way == Way.ANSWERS && lagMs == 0 && System.nanoTime() - goodSince >= time;
    }

    private Future<Void> listen() {
      server =
          vertx
              .createHttpServer(new HttpServerOptions(options).setPort(port).setHost("127.0.0.1"))
              .connectionHandler(
                  connection -> {
                    connections.add(connection);
                    connection.closeHandler(closed -> connections.remove(connection));
                  })
              .requestHandler(this::take);
      return server
          .listen()
          .map(
              up -> {
                port = up.actualPort();
                return null;
              });
    }

    /** Changes how it treats what is asked. */
    public void become(Way other) {
      if (way == Way.REFUSES && other != Way.REFUSES) {
        listen();
      } else if (other == Way.REFUSES && way != Way.REFUSES) {
        server.close();
        cut();
      } else if (other == Way.UNAVAILABLE || other == Way.UNAUTHORISED) {
        cut();
      }
      way = other;
      goodSince = System.nanoTime();
      offer();
    }

    /** Changes tell and reads answer so many milliseconds late. */
    public void lag(long ms) {
      lagMs = ms;
      goodSince = System.nanoTime();
    }

    /** Breaks all connections; watches end amid a line. */
    public void cut() {
      for (Watcher watcher : List.copyOf(watchers)) {
        watcher.response.write("{\"result\":{\"header\":{\"clus");
      }
      watchers.clear();
      List.copyOf(connections).forEach(HttpConnection::close);
    }

    /**
     * Ends its side of all watches in good order; the connections stay open for what clients still
     * say.
     */
    public void finish() {
      List<Watcher> ended = List.copyOf(watchers);
      watchers.clear();
      ended.forEach(watcher -> watcher.response.end());
    }

    private void take(HttpServerRequest request) {
      request
          .body()
          .onSuccess(
              body -> {
                if (way == Way.SILENT) {
                  return;
                }
                Runnable answer =
                    () -> {
                      try {
                        answer(request, body);
                      } catch (RuntimeException e) {
                        error(request.response(), 400, 3, String.valueOf(e.getMessage()));
                      }
                    };
                if (lagMs > 0) {
                  vertx.setTimer(lagMs, late -> answer.run());
                } else {
                  answer.run();
                }
              });
    }

    private void answer(HttpServerRequest request, Buffer body) {
      HttpServerResponse response = request.response();
      String shown =
          request.getHeader(request.path().startsWith("/v1") ? "X-Consul-Token" : "Authorization");
      if (way == Way.UNAVAILABLE) {
        error(response, 503, UNAVAILABLE, "no leader");
      } else if (request.path().equals("/v3/auth/authenticate")) {
        response.end(new JsonObject().put("header", header()).put("token", token).encode());
      } else if (way == Way.UNAUTHORISED || (!token.isEmpty() && !token.equals(shown))) {
        error(response, 401, UNAUTHENTICATED, "invalid auth token");
      } else {
        switch (request.path()) {
          case "/v3/kv/range" -> range(response, new JsonObject(body));
          case "/v3/watch" ->
              new Watcher(this, response, new JsonObject(body).getJsonObject("create_request"));
          case "/v3/kv/txn" -> transaction(response, new JsonObject(body));
          case "/v3/lease/grant" -> {
            long ttl = Long.parseLong(new JsonObject(body).getString("TTL"));
            leases.put(++lastLease, new Lease(lastLease, ttl));
            response.end(
                new JsonObject()
                    .put("header", header())
                    .put("ID", Long.toString(lastLease))
                    .put("TTL", Long.toString(ttl))
                    .encode());
          }
          case "/v3/lease/keepalive" -> {
            long id = wide(new JsonObject(body), "ID");
            Lease lease = leases.get(id);
            if (lease != null) {
              lease.keep(id);
            }
            JsonObject result =
                new JsonObject().put("header", header()).put("ID", Long.toString(id));
            response.end(
                new JsonObject()
                    .put(
                        "result",
                        lease == null ? result : result.put("TTL", Long.toString(lease.seconds)))
                    .encode());
          }
          case "/v3/lease/revoke" -> {
            long id = wide(new JsonObject(body), "ID");
            if (leases.containsKey(id)) {
              leases.get(id).end(id);
            }
            response.end(new JsonObject().put("header", header()).encode());
          }
          case "/v1/txn" -> consulTransaction(response, new JsonArray(body));
          default -> {
            if (request.path().startsWith("/v1/kv/")) {
              read(request, request.path().substring("/v1/kv/".length()));
            } else {
              error(response, 404, 5, "not found");
            }
          }
        }
      }
    }

    private void offer() {
      List.copyOf(watchers)
          .forEach(
              watcher -> {
                if (lagMs > 0) {
                  vertx.setTimer(lagMs, late -> watcher.offer());
                } else {
                  watcher.offer();
                }
              });
    }
  }

  private static void error(HttpServerResponse response, int status, int code, String message) {
    response
        .setStatusCode(status)
        .end(
            new JsonObject()
                .put("error", message)
                .put("code", code)
                .put("message", message)
                .encode());
  }

  private JsonObject header() {
    return new JsonObject()
        .put("cluster_id", history.cluster)
        .put("member_id", "1")
        .put("revision", Long.toString(history.revision()))
        .put("raft_term", "2");
  }

  private static String base64(byte[] bytes) {
    return Base64.getEncoder().encodeToString(bytes);
  }

  private static byte[] bytes(JsonObject from, String name) {
    return Base64.getDecoder().decode(from.getString(name, ""));
  }

  private static String text(JsonObject from, String name) {
    return new String(bytes(from, name), StandardCharsets.UTF_8);
  }

  private static long wide(JsonObject from, String name) {
    return Long.parseLong(from.getString(name, "0"));
  }

  private static JsonObject kv(String key, RevisionedStore.Kept<byte[]> kept) {
    return new JsonObject()
        .put("key", base64(key.getBytes(StandardCharsets.UTF_8)))
        .put("create_revision", Long.toString(kept.created()))
        .put("mod_revision", Long.toString(kept.changed()))
        .put("version", "1")
        .put("value", base64(kept.value()));
  }

  // ---- The JSON form of the API with ranges and watches.

  private void range(HttpServerResponse response, JsonObject ask) {
    long revision = wide(ask, "revision"),
        limit = wide(ask, "limit"),
        since = wide(ask, "min_mod_revision");
    if (revision != 0 && revision < history.compacted()) {
      error(response, 400, OUT_OF_RANGE, "required revision has been compacted");
      return;
    }
    String from = text(ask, "key"), to = text(ask, "range_end");
    NavigableMap<String, RevisionedStore.Kept<byte[]>> all =
        history.at(revision == 0 ? history.revision() : revision);
    var found =
        to.isEmpty() ? all.subMap(from, true, from, true) : all.subMap(from, true, to, false);
    JsonArray kvs = new JsonArray();
    boolean more = false;
    for (var one : found.entrySet()) {
      if (one.getValue().changed() >= since) {
        more = limit > 0 && kvs.size() == limit;
        if (more) {
          break;
        }
        kvs.add(kv(one.getKey(), one.getValue()));
      }
    }
    JsonObject answer =
        new JsonObject().put("header", header()).put("count", Integer.toString(found.size()));
    if (!kvs.isEmpty()) {
      answer.put("kvs", kvs);
    }
    response.end((more ? answer.put("more", true) : answer).encode());
  }

  private void transaction(HttpServerResponse response, JsonObject ask) {
    boolean holds = true;
    for (Object one : ask.getJsonArray("compare", new JsonArray())) {
      JsonObject compare = (JsonObject) one;
      RevisionedStore.Kept<byte[]> kept = history.now().get(text(compare, "key"));
      holds &= wide(compare, "mod_revision") == (kept == null ? 0 : kept.changed());
    }
    if (holds) {
      Map<String, byte[]> writes = new TreeMap<>();
      for (Object one : ask.getJsonArray("success")) {
        JsonObject put = ((JsonObject) one).getJsonObject("request_put");
        if (put == null) {
          writes.put(text(((JsonObject) one).getJsonObject("request_delete_range"), "key"), null);
        } else {
          writes.put(text(put, "key"), bytes(put, "value"));
          Lease held = leases.get(wide(put, "lease"));
          if (held != null) {
            held.keys.add(text(put, "key"));
          }
        }
      }
      write(writes);
    }
    JsonObject answer = new JsonObject().put("header", header());
    response.end((holds ? answer.put("succeeded", true) : answer).encode());
  }

  /** One watch's stream. */
  private final class Watcher {
    private final Endpoint at;
    private final HttpServerResponse response;
    private final String from, to;
    private long next;

    Watcher(Endpoint at, HttpServerResponse response, JsonObject create) {
      this.at = at;
      this.response = response;
      from = text(create, "key");
      to = text(create, "range_end");
      next = wide(create, "start_revision");
      response.setChunked(true);
      line(new JsonObject().put("header", header()).put("created", true));
      if (next <= history.compacted()) {
        line(
            new JsonObject()
                .put("header", header())
                .put("canceled", true)
                .put("compact_revision", Long.toString(history.compacted())));
        response.end();
        return;
      }
      at.watchers.add(this);
      response.closeHandler(closed -> at.watchers.remove(this));
      offer();
    }

    private void line(JsonObject result) {
      response.write(new JsonObject().put("result", result).encode() + "\n");
    }

    /** Tells what is new; many events of one revision go in two lines. */
    void offer() {
      if (at.way != Way.ANSWERS || !at.watchers.contains(this)) {
        return;
      }
      JsonArray events = new JsonArray();
      for (RevisionedStore.Event<byte[]> event : history.between(next, history.revision())) {
        if (event.key().compareTo(from) < 0 || event.key().compareTo(to) >= 0) {
          continue;
        }
        if (event.kept() == null) {
          events.add(
              new JsonObject()
                  .put("type", "DELETE")
                  .put(
                      "kv",
                      new JsonObject()
                          .put("key", base64(event.key().getBytes(StandardCharsets.UTF_8)))
                          .put("mod_revision", Long.toString(event.revision()))));
        } else {
          events.add(new JsonObject().put("kv", kv(event.key(), event.kept())));
        }
      }
      next = history.revision() + 1;
      if (events.size() > 2) {
        line(
            new JsonObject()
                .put("header", header())
                .put("fragment", true)
                .put("events", new JsonArray(events.getList().subList(0, 2))));
        events = new JsonArray(events.getList().subList(2, events.size()));
      }
      if (!events.isEmpty()) {
        line(new JsonObject().put("header", header()).put("events", events));
      }
    }
  }

  // ---- The form with blocking reads.

  private void read(HttpServerRequest request, String key) {
    String asked = request.getParam("index"), wait = request.getParam("wait");
    long index = asked == null ? 0 : Long.parseLong(asked);
    boolean many = request.getParam("recurse") != null;
    if (index == 0 || index != history.revision()) {
      answerRead(request.response(), key, many);
      return;
    }
    // Held back until something changes or the wait is over.
    long until = System.nanoTime() + Long.parseLong(wait.replaceAll("\\D", "")) * 1_000_000;
    vertx.setPeriodic(
        5,
        timer -> {
          boolean over = System.nanoTime() > until || request.response().closed();
          if (over || index != history.revision()) {
            vertx.cancelTimer(timer);
            if (!request.response().closed()) {
              answerRead(request.response(), key, many);
            }
          }
        });
  }

  private void answerRead(HttpServerResponse response, String key, boolean many) {
    JsonArray found = new JsonArray();
    history
        .now()
        .forEach(
            (name, kept) -> {
              if (many ? name.startsWith(key) : name.equals(key)) {
                found.add(
                    new JsonObject()
                        .put("LockIndex", 0)
                        .put("Key", name)
                        .put("Flags", 0)
                        .put("Value", base64(kept.value()))
                        .put("CreateIndex", kept.created())
                        .put("ModifyIndex", kept.changed()));
              }
            });
    response.putHeader("X-Consul-Index", Long.toString(history.revision()));
    response.setStatusCode(found.isEmpty() ? 404 : 200).end(found.isEmpty() ? "" : found.encode());
  }

  private void consulTransaction(HttpServerResponse response, JsonArray ask) {
    Map<String, byte[]> writes = new TreeMap<>();
    for (Object one : ask) {
      JsonObject verb = ((JsonObject) one).getJsonObject("KV");
      String key = verb.getString("Key");
      RevisionedStore.Kept<byte[]> kept = history.now().get(key);
      if (verb.getString("Verb").endsWith("cas")
          && verb.getLong("Index") != (kept == null ? 0 : kept.changed())) {
        response
            .setStatusCode(409)
            .end(new JsonObject().put("Errors", new JsonArray().add(key)).encode());
        return;
      }
      writes.put(key, verb.getString("Verb").startsWith("delete") ? null : bytes(verb, "Value"));
    }
    write(writes);
    response.end(new JsonObject().put("Results", new JsonArray()).encode());
  }
}
