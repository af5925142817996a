package org.amberpath.lab.registry;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Implements etcd's JSON gateway API: range reads, watches, transactions and leases. */
final class EtcdResponder {
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int CODE_OUT_OF_RANGE = 11;

  private final StandInRegistry registry;
  private final StandInLeases leases;

  EtcdResponder(Vertx vertx, StandInRegistry registry) {
    this.registry = registry;
    leases = new StandInLeases(vertx, registry);
  }

  void respond(StandInEndpoint endpoint, HttpServerRequest request, Buffer body) {
    HttpServerResponse response = request.response();
    switch (request.path()) {
      case "/v3/kv/range" -> handleRange(response, new JsonObject(body));
      case "/v3/watch" ->
          new EtcdWatchStream(
                  registry,
                  endpoint,
                  response,
                  new JsonObject(body).getJsonObject("create_request"))
              .open();
      case "/v3/kv/txn" -> handleTransaction(response, new JsonObject(body));
      case "/v3/lease/grant" -> handleLeaseGrant(response, new JsonObject(body));
      case "/v3/lease/keepalive" -> handleLeaseKeepAlive(response, new JsonObject(body));
      case "/v3/lease/revoke" -> {
        leases.revoke(JsonResponses.number(new JsonObject(body), "ID"));
        response.end(new JsonObject().put("header", header(registry)).encode());
      }
      default -> JsonResponses.sendNotFound(response);
    }
  }

  static JsonObject header(StandInRegistry registry) {
    return new JsonObject()
        .put("cluster_id", registry.history().clusterId())
        .put("member_id", "1")
        .put("revision", Long.toString(registry.revision()))
        .put("raft_term", "2");
  }

  static JsonObject keyValue(String key, RevisionedStore.VersionedValue<byte[]> versioned) {
    return new JsonObject()
        .put("key", JsonResponses.base64(key))
        .put("create_revision", Long.toString(versioned.createRevision()))
        .put("mod_revision", Long.toString(versioned.modRevision()))
        .put("version", "1")
        .put("value", JsonResponses.base64(versioned.value()));
  }

  void sendToken(HttpServerResponse response, String token) {
    response.end(new JsonObject().put("header", header(registry)).put("token", token).encode());
  }

  private void handleRange(HttpServerResponse response, JsonObject request) {
    RevisionedStore<byte[]> history = registry.history();
    long revision = JsonResponses.number(request, "revision");
    if (revision != 0 && revision < history.compactedRevision()) {
      JsonResponses.sendError(
          response, STATUS_BAD_REQUEST, CODE_OUT_OF_RANGE, "required revision has been compacted");
      return;
    }
    long limit = JsonResponses.number(request, "limit");
    long minModRevision = JsonResponses.number(request, "min_mod_revision");
    String startKey = JsonResponses.text(request, "key");
    String rangeEnd = JsonResponses.text(request, "range_end");
    NavigableMap<String, RevisionedStore.VersionedValue<byte[]>> state =
        history.stateAt(revision == 0 ? history.revision() : revision);
    NavigableMap<String, RevisionedStore.VersionedValue<byte[]>> matching =
        rangeEnd.isEmpty()
            ? state.subMap(startKey, true, startKey, true)
            : state.subMap(startKey, true, rangeEnd, false);
    JsonArray keyValues = new JsonArray();
    boolean hasMore = false;
    for (Map.Entry<String, RevisionedStore.VersionedValue<byte[]>> entry : matching.entrySet()) {
      if (entry.getValue().modRevision() >= minModRevision) {
        hasMore = limit > 0 && keyValues.size() == limit;
        if (hasMore) {
          break;
        }
        keyValues.add(keyValue(entry.getKey(), entry.getValue()));
      }
    }
    JsonObject responseBody =
        new JsonObject()
            .put("header", header(registry))
            .put("count", Integer.toString(matching.size()));
    if (!keyValues.isEmpty()) {
      responseBody.put("kvs", keyValues);
    }
    response.end((hasMore ? responseBody.put("more", true) : responseBody).encode());
  }

  private void handleTransaction(HttpServerResponse response, JsonObject request) {
    boolean comparisonsHold = true;
    for (Object each : request.getJsonArray("compare", new JsonArray())) {
      JsonObject compare = (JsonObject) each;
      RevisionedStore.VersionedValue<byte[]> versioned =
          registry.history().current().get(JsonResponses.text(compare, "key"));
      long modRevision = versioned == null ? 0 : versioned.modRevision();
      comparisonsHold &= JsonResponses.number(compare, "mod_revision") == modRevision;
    }
    if (comparisonsHold) {
      registry.write(toWrites(request.getJsonArray("success")));
    }
    JsonObject responseBody = new JsonObject().put("header", header(registry));
    response.end((comparisonsHold ? responseBody.put("succeeded", true) : responseBody).encode());
  }

  private Map<String, byte[]> toWrites(JsonArray operations) {
    Map<String, byte[]> writes = new TreeMap<>();
    for (Object each : operations) {
      JsonObject operation = (JsonObject) each;
      JsonObject put = operation.getJsonObject("request_put");
      if (put == null) {
        JsonObject delete = operation.getJsonObject("request_delete_range");
        writes.put(JsonResponses.text(delete, "key"), null);
      } else {
        String key = JsonResponses.text(put, "key");
        writes.put(key, JsonResponses.bytes(put, "value"));
        leases.attach(JsonResponses.number(put, "lease"), key);
      }
    }
    return writes;
  }

  private void handleLeaseGrant(HttpServerResponse response, JsonObject request) {
    long seconds = Long.parseLong(request.getString("TTL"));
    response.end(
        new JsonObject()
            .put("header", header(registry))
            .put("ID", Long.toString(leases.grant(seconds)))
            .put("TTL", Long.toString(seconds))
            .encode());
  }

  private void handleLeaseKeepAlive(HttpServerResponse response, JsonObject request) {
    long id = JsonResponses.number(request, "ID");
    JsonObject result =
        new JsonObject().put("header", header(registry)).put("ID", Long.toString(id));
    leases.renew(id).ifPresent(seconds -> result.put("TTL", Long.toString(seconds)));
    response.end(new JsonObject().put("result", result).encode());
  }
}
