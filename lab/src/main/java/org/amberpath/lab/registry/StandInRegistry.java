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
  public enum EndpointBehavior {
    ANSWERS,
    SILENT,
    REFUSES,
    UNAVAILABLE,
    UNAUTHORISED
  }

  private static final int CODE_OUT_OF_RANGE = 11;
  private static final int CODE_UNAVAILABLE = 14;
  private static final int CODE_UNAUTHENTICATED = 16;

  private final Vertx vertx;
  private final HttpServerOptions options;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private RevisionedStore<byte[]> history = new RevisionedStore<>("101");
  private long lastLeaseId;

  /** The token that is asked for; empty for none. */
  private String requiredToken = "";

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

  public void requireToken(String token) {
    requiredToken = token;
  }

  public long revision() {
    return history.revision();
  }

  /** The keys as they stand. */
  public Map<String, byte[]> entries() {
    Map<String, byte[]> now = new TreeMap<>();
    history.current().forEach((key, kept) -> now.put(key, kept.value()));
    return now;
  }

  /** Writes keys in one transaction; a null value deletes. */
  public long write(Map<String, byte[]> writes) {
    long before = history.revision();
    history.write(writes);
    if (history.revision() > before) {
      endpoints.forEach(Endpoint::notifyWatchers);
    }
    return history.revision();
  }

  /** Forgets all states before the last so many revisions. */
  public void compact(long kept) {
    history.compact(history.revision() - kept);
  }

  /** A backup as of now, to be restored under its own id or another one. */
  public Runnable backupAs(String clusterId) {
    RevisionedStore<byte[]> copy =
        history.copyAs(clusterId.isEmpty() ? history.clusterId : clusterId);
    return () -> history = copy;
  }

  /** Keys that go with it, unless it is kept. */
  private final class Lease {
    final long seconds;
    final Set<String> keys = new LinkedHashSet<>();
    private long timer = -1;

    Lease(long id, long seconds) {
      this.seconds = seconds;
      renew(id);
    }

    void renew(long id) {
      vertx.cancelTimer(timer);
      timer = vertx.setTimer(Math.max(1, seconds * 1000), timer -> expire(id));
    }

    void expire(long id) {
      vertx.cancelTimer(timer);
      leases.remove(id);
      Map<String, byte[]> deletions = new TreeMap<>();
      keys.forEach(key -> deletions.put(key, null));
      if (!deletions.isEmpty()) {
        write(deletions);
      }
    }
  }

  /** One endpoint. */
  public final class Endpoint {
    private final Set<HttpConnection> connections = new LinkedHashSet<>();
    private final Set<Watcher> watchers = new LinkedHashSet<>();
    private HttpServer server;
    private int port;
    private EndpointBehavior behavior = EndpointBehavior.ANSWERS;
    private long lagMillis;
    private long healthySinceNanos = System.nanoTime();

    private Endpoint(int port) {
      this.port = port;
    }

    public int port() {
      return port;
    }

    /** Whether it has answered well for so long, in nanoseconds. */
    public boolean isHealthyFor(long durationNanos) {
      return behavior == EndpointBehavior.ANSWERS
          && lagMillis == 0
          && System.nanoTime() - healthySinceNanos >= durationNanos;
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
              .requestHandler(this::requestReceived);
      return server
          .listen()
          .map(
              listening -> {
                port = listening.actualPort();
                return null;
              });
    }

    /** Changes how it treats what is asked. */
    public void setBehavior(EndpointBehavior newBehavior) {
      if (behavior == EndpointBehavior.REFUSES && newBehavior != EndpointBehavior.REFUSES) {
        listen();
      } else if (newBehavior == EndpointBehavior.REFUSES && behavior != EndpointBehavior.REFUSES) {
        server.close();
        breakConnections();
      } else if (newBehavior == EndpointBehavior.UNAVAILABLE
          || newBehavior == EndpointBehavior.UNAUTHORISED) {
        breakConnections();
      }
      behavior = newBehavior;
      healthySinceNanos = System.nanoTime();
      notifyWatchers();
    }

    /** Changes tell and reads answer so many milliseconds late. */
    public void setLagMillis(long lagMillis) {
      this.lagMillis = lagMillis;
      healthySinceNanos = System.nanoTime();
    }

    /** Breaks all connections; watches end amid a line. */
    public void breakConnections() {
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
    public void endWatches() {
      List<Watcher> ended = List.copyOf(watchers);
      watchers.clear();
      ended.forEach(watcher -> watcher.response.end());
    }

    private void requestReceived(HttpServerRequest request) {
      request
          .body()
          .onSuccess(
              body -> {
                if (behavior == EndpointBehavior.SILENT) {
                  return;
                }
                Runnable response =
                    () -> {
                      try {
                        respond(request, body);
                      } catch (RuntimeException e) {
                        error(request.response(), 400, 3, String.valueOf(e.getMessage()));
                      }
                    };
                if (lagMillis > 0) {
                  vertx.setTimer(lagMillis, timer -> response.run());
                } else {
                  response.run();
                }
              });
    }

    private void respond(HttpServerRequest request, Buffer body) {
      HttpServerResponse response = request.response();
      String presentedToken =
          request.getHeader(request.path().startsWith("/v1") ? "X-Consul-Token" : "Authorization");
      if (behavior == EndpointBehavior.UNAVAILABLE) {
        error(response, 503, CODE_UNAVAILABLE, "no leader");
      } else if (request.path().equals("/v3/auth/authenticate")) {
        response.end(new JsonObject().put("header", header()).put("token", requiredToken).encode());
      } else if (behavior == EndpointBehavior.UNAUTHORISED
          || (!requiredToken.isEmpty() && !requiredToken.equals(presentedToken))) {
        error(response, 401, CODE_UNAUTHENTICATED, "invalid auth token");
      } else {
        switch (request.path()) {
          case "/v3/kv/range" -> range(response, new JsonObject(body));
          case "/v3/watch" ->
              new Watcher(this, response, new JsonObject(body).getJsonObject("create_request"));
          case "/v3/kv/txn" -> transaction(response, new JsonObject(body));
          case "/v3/lease/grant" -> {
            long ttl = Long.parseLong(new JsonObject(body).getString("TTL"));
            leases.put(++lastLeaseId, new Lease(lastLeaseId, ttl));
            response.end(
                new JsonObject()
                    .put("header", header())
                    .put("ID", Long.toString(lastLeaseId))
                    .put("TTL", Long.toString(ttl))
                    .encode());
          }
          case "/v3/lease/keepalive" -> {
            long id = longField(new JsonObject(body), "ID");
            Lease lease = leases.get(id);
            if (lease != null) {
              lease.renew(id);
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
            long id = longField(new JsonObject(body), "ID");
            if (leases.containsKey(id)) {
              leases.get(id).expire(id);
            }
            response.end(new JsonObject().put("header", header()).encode());
          }
          case "/v1/txn" -> consulTransaction(response, new JsonArray(body));
          default -> {
            if (request.path().startsWith("/v1/kv/")) {
              blockingRead(request, request.path().substring("/v1/kv/".length()));
            } else {
              error(response, 404, 5, "not found");
            }
          }
        }
      }
    }

    private void notifyWatchers() {
      List.copyOf(watchers)
          .forEach(
              watcher -> {
                if (lagMillis > 0) {
                  vertx.setTimer(lagMillis, timer -> watcher.sendChanges());
                } else {
                  watcher.sendChanges();
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
        .put("cluster_id", history.clusterId)
        .put("member_id", "1")
        .put("revision", Long.toString(history.revision()))
        .put("raft_term", "2");
  }

  private static String base64(byte[] bytes) {
    return Base64.getEncoder().encodeToString(bytes);
  }

  private static byte[] decodedBytes(JsonObject from, String name) {
    return Base64.getDecoder().decode(from.getString(name, ""));
  }

  private static String decodedText(JsonObject from, String name) {
    return new String(decodedBytes(from, name), StandardCharsets.UTF_8);
  }

  private static long longField(JsonObject from, String name) {
    return Long.parseLong(from.getString(name, "0"));
  }

  private static JsonObject encodedKeyValue(
      String key, RevisionedStore.VersionedValue<byte[]> kept) {
    return new JsonObject()
        .put("key", base64(key.getBytes(StandardCharsets.UTF_8)))
        .put("create_revision", Long.toString(kept.createRevision()))
        .put("mod_revision", Long.toString(kept.modRevision()))
        .put("version", "1")
        .put("value", base64(kept.value()));
  }

  // ---- The JSON form of the API with ranges and watches.

  private void range(HttpServerResponse response, JsonObject request) {
    long revision = longField(request, "revision");
    long limit = longField(request, "limit");
    long minModRevision = longField(request, "min_mod_revision");
    if (revision != 0 && revision < history.compactedRevision()) {
      error(response, 400, CODE_OUT_OF_RANGE, "required revision has been compacted");
      return;
    }
    String from = decodedText(request, "key");
    String end = decodedText(request, "range_end");
    NavigableMap<String, RevisionedStore.VersionedValue<byte[]>> all =
        history.stateAt(revision == 0 ? history.revision() : revision);
    var matching =
        end.isEmpty() ? all.subMap(from, true, from, true) : all.subMap(from, true, end, false);
    JsonArray kvs = new JsonArray();
    boolean hasMore = false;
    for (var entry : matching.entrySet()) {
      if (entry.getValue().modRevision() >= minModRevision) {
        hasMore = limit > 0 && kvs.size() == limit;
        if (hasMore) {
          break;
        }
        kvs.add(encodedKeyValue(entry.getKey(), entry.getValue()));
      }
    }
    JsonObject answer =
        new JsonObject().put("header", header()).put("count", Integer.toString(matching.size()));
    if (!kvs.isEmpty()) {
      answer.put("kvs", kvs);
    }
    response.end((hasMore ? answer.put("more", true) : answer).encode());
  }

  private void transaction(HttpServerResponse response, JsonObject request) {
    boolean comparisonsHold = true;
    for (Object entry : request.getJsonArray("compare", new JsonArray())) {
      JsonObject compare = (JsonObject) entry;
      RevisionedStore.VersionedValue<byte[]> kept =
          history.current().get(decodedText(compare, "key"));
      comparisonsHold &=
          longField(compare, "mod_revision") == (kept == null ? 0 : kept.modRevision());
    }
    if (comparisonsHold) {
      Map<String, byte[]> writes = new TreeMap<>();
      for (Object entry : request.getJsonArray("success")) {
        JsonObject put = ((JsonObject) entry).getJsonObject("request_put");
        if (put == null) {
          writes.put(
              decodedText(((JsonObject) entry).getJsonObject("request_delete_range"), "key"), null);
        } else {
          writes.put(decodedText(put, "key"), decodedBytes(put, "value"));
          Lease lease = leases.get(longField(put, "lease"));
          if (lease != null) {
            lease.keys.add(decodedText(put, "key"));
          }
        }
      }
      write(writes);
    }
    JsonObject answer = new JsonObject().put("header", header());
    response.end((comparisonsHold ? answer.put("succeeded", true) : answer).encode());
  }

  /** One watch's stream. */
  private final class Watcher {
    private final Endpoint endpoint;
    private final HttpServerResponse response;
    private final String from;
    private final String to;
    private long nextRevision;

    Watcher(Endpoint endpoint, HttpServerResponse response, JsonObject request) {
      this.endpoint = endpoint;
      this.response = response;
      from = decodedText(request, "key");
      to = decodedText(request, "range_end");
      nextRevision = longField(request, "start_revision");
      response.setChunked(true);
      writeLine(new JsonObject().put("header", header()).put("created", true));
      if (nextRevision <= history.compactedRevision()) {
        writeLine(
            new JsonObject()
                .put("header", header())
                .put("canceled", true)
                .put("compact_revision", Long.toString(history.compactedRevision())));
        response.end();
        return;
      }
      endpoint.watchers.add(this);
      response.closeHandler(ignored -> endpoint.watchers.remove(this));
      sendChanges();
    }

    private void writeLine(JsonObject result) {
      response.write(new JsonObject().put("result", result).encode() + "\n");
    }

    /** Tells what is new; many events of one revision go in two lines. */
    void sendChanges() {
      if (endpoint.behavior != EndpointBehavior.ANSWERS || !endpoint.watchers.contains(this)) {
        return;
      }
      JsonArray events = new JsonArray();
      for (RevisionedStore.Change<byte[]> change :
          history.changesBetween(nextRevision, history.revision())) {
        if (change.key().compareTo(from) < 0 || change.key().compareTo(to) >= 0) {
          continue;
        }
        if (change.versioned() == null) {
          events.add(
              new JsonObject()
                  .put("type", "DELETE")
                  .put(
                      "kv",
                      new JsonObject()
                          .put("key", base64(change.key().getBytes(StandardCharsets.UTF_8)))
                          .put("mod_revision", Long.toString(change.revision()))));
        } else {
          events.add(new JsonObject().put("kv", encodedKeyValue(change.key(), change.versioned())));
        }
      }
      nextRevision = history.revision() + 1;
      if (events.size() > 2) {
        writeLine(
            new JsonObject()
                .put("header", header())
                .put("fragment", true)
                .put("events", new JsonArray(events.getList().subList(0, 2))));
        events = new JsonArray(events.getList().subList(2, events.size()));
      }
      if (!events.isEmpty()) {
        writeLine(new JsonObject().put("header", header()).put("events", events));
      }
    }
  }

  // ---- The form with blocking reads.

  private void blockingRead(HttpServerRequest request, String key) {
    String asked = request.getParam("index");
    String wait = request.getParam("wait");
    long index = asked == null ? 0 : Long.parseLong(asked);
    boolean recurse = request.getParam("recurse") != null;
    if (index == 0 || index != history.revision()) {
      respondToRead(request.response(), key, recurse);
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
              respondToRead(request.response(), key, recurse);
            }
          }
        });
  }

  private void respondToRead(HttpServerResponse response, String key, boolean recurse) {
    JsonArray matching = new JsonArray();
    history
        .current()
        .forEach(
            (name, kept) -> {
              if (recurse ? name.startsWith(key) : name.equals(key)) {
                matching.add(
                    new JsonObject()
                        .put("LockIndex", 0)
                        .put("Key", name)
                        .put("Flags", 0)
                        .put("Value", base64(kept.value()))
                        .put("CreateIndex", kept.createRevision())
                        .put("ModifyIndex", kept.modRevision()));
              }
            });
    response.putHeader("X-Consul-Index", Long.toString(history.revision()));
    response
        .setStatusCode(matching.isEmpty() ? 404 : 200)
        .end(matching.isEmpty() ? "" : matching.encode());
  }

  private void consulTransaction(HttpServerResponse response, JsonArray request) {
    Map<String, byte[]> writes = new TreeMap<>();
    for (Object entry : request) {
      JsonObject verb = ((JsonObject) entry).getJsonObject("KV");
      String key = verb.getString("Key");
      RevisionedStore.VersionedValue<byte[]> kept = history.current().get(key);
      if (verb.getString("Verb").endsWith("cas")
          && verb.getLong("Index") != (kept == null ? 0 : kept.modRevision())) {
        response
            .setStatusCode(409)
            .end(new JsonObject().put("Errors", new JsonArray().add(key)).encode());
        return;
      }
      writes.put(
          key, verb.getString("Verb").startsWith("delete") ? null : decodedBytes(verb, "Value"));
    }
    write(writes);
    response.end(new JsonObject().put("Results", new JsonArray()).encode());
  }
}
