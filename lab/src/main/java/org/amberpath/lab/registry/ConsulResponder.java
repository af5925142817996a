package org.amberpath.lab.registry;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;

/** Implements Consul's key-value API: blocking queries and transactions. */
final class ConsulResponder {
  private static final String KV_PATH = "/v1/kv/";
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int POLL_MILLIS = 5;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Vertx vertx;
  private final StandInRegistry registry;

  ConsulResponder(Vertx vertx, StandInRegistry registry) {
    this.vertx = vertx;
    this.registry = registry;
  }

  void respond(HttpServerRequest request, Buffer body) {
    if (request.path().equals("/v1/txn")) {
      handleTransaction(request.response(), new JsonArray(body));
    } else if (request.path().startsWith(KV_PATH)) {
      handleRead(request, request.path().substring(KV_PATH.length()));
    } else {
      JsonResponses.sendNotFound(request.response());
    }
  }

  private void handleRead(HttpServerRequest request, String key) {
    String indexParameter = request.getParam("index");
    long index = indexParameter == null ? 0 : Long.parseLong(indexParameter);
    boolean recurse = request.getParam("recurse") != null;
    if (index == 0 || index != registry.revision()) {
      sendMatching(request.response(), key, recurse);
      return;
    }
    // A blocking query: answered when a change occurs or the wait time has passed.
    String wait = request.getParam("wait").replaceAll("\\D", "");
    long untilNanos = System.nanoTime() + Long.parseLong(wait) * NANOS_PER_MILLI;
    vertx.setPeriodic(
        POLL_MILLIS,
        timer -> {
          boolean expired = System.nanoTime() > untilNanos || request.response().closed();
          if (expired || index != registry.revision()) {
            vertx.cancelTimer(timer);
            if (!request.response().closed()) {
              sendMatching(request.response(), key, recurse);
            }
          }
        });
  }

  private void sendMatching(HttpServerResponse response, String key, boolean recurse) {
    JsonArray matching = new JsonArray();
    registry
        .history()
        .current()
        .forEach(
            (name, versioned) -> {
              if (recurse ? name.startsWith(key) : name.equals(key)) {
                matching.add(
                    new JsonObject()
                        .put("LockIndex", 0)
                        .put("Key", name)
                        .put("Flags", 0)
                        .put("Value", JsonResponses.base64(versioned.value()))
                        .put("CreateIndex", versioned.createRevision())
                        .put("ModifyIndex", versioned.modRevision()));
              }
            });
    response.putHeader("X-Consul-Index", Long.toString(registry.revision()));
    response
        .setStatusCode(matching.isEmpty() ? STATUS_NOT_FOUND : STATUS_OK)
        .end(matching.isEmpty() ? "" : matching.encode());
  }

  private void handleTransaction(HttpServerResponse response, JsonArray operations) {
    Map<String, byte[]> writes = new TreeMap<>();
    for (Object each : operations) {
      JsonObject operation = ((JsonObject) each).getJsonObject("KV");
      String verb = operation.getString("Verb");
      String key = operation.getString("Key");
      RevisionedStore.VersionedValue<byte[]> versioned = registry.history().current().get(key);
      long modRevision = versioned == null ? 0 : versioned.modRevision();
      if (verb.endsWith("cas") && operation.getLong("Index") != modRevision) {
        response
            .setStatusCode(STATUS_CONFLICT)
            .end(new JsonObject().put("Errors", new JsonArray().add(key)).encode());
        return;
      }
      writes.put(key, verb.startsWith("delete") ? null : JsonResponses.bytes(operation, "Value"));
    }
    registry.write(writes);
    response.end(new JsonObject().put("Results", new JsonArray()).encode());
  }
}
