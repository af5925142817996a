package org.amberpath.lab.registry;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** One watch stream of etcd's JSON API: a chunked response with one JSON object a line. */
final class EtcdWatchStream {
  /** Events in the first line, a fragment; the remaining events follow in a second line. */
  private static final int MAX_EVENTS_IN_FIRST_LINE = 2;

  private final StandInRegistry registry;
  private final StandInEndpoint endpoint;
  private final HttpServerResponse response;
  private final String startKey;
  private final String rangeEnd;
  private long nextRevision;

  EtcdWatchStream(
      StandInRegistry registry,
      StandInEndpoint endpoint,
      HttpServerResponse response,
      JsonObject createRequest) {
    this.registry = registry;
    this.endpoint = endpoint;
    this.response = response;
    startKey = JsonResponses.text(createRequest, "key");
    rangeEnd = JsonResponses.text(createRequest, "range_end");
    nextRevision = JsonResponses.number(createRequest, "start_revision");
  }

  /** Confirms the watch and sends existing changes, or cancels it if its revision is compacted. */
  void open() {
    response.setChunked(true);
    writeLine(newResult().put("created", true));
    long compactedRevision = registry.history().compactedRevision();
    if (nextRevision <= compactedRevision) {
      writeLine(
          newResult()
              .put("canceled", true)
              .put("compact_revision", Long.toString(compactedRevision)));
      response.end();
      return;
    }
    endpoint.addWatch(this);
    response.closeHandler(closed -> endpoint.removeWatch(this));
    sendChanges();
  }

  /** Writes an incomplete line. */
  void writeIncompleteLine() {
    response.write("{\"result\":{\"header\":{\"clus");
  }

  /** Ends the response properly. */
  void end() {
    response.end();
  }

  private JsonObject newResult() {
    return new JsonObject().put("header", EtcdResponder.header(registry));
  }

  private void writeLine(JsonObject result) {
    response.write(new JsonObject().put("result", result).encode() + "\n");
  }

  /** Sends the changes that this watch has not sent yet, if the endpoint sends on it now. */
  void sendChanges() {
    if (!endpoint.canSendTo(this)) {
      return;
    }
    JsonArray events = new JsonArray();
    for (RevisionedStore.Change<byte[]> change :
        registry.history().changesBetween(nextRevision, registry.revision())) {
      if (change.key().compareTo(startKey) >= 0 && change.key().compareTo(rangeEnd) < 0) {
        events.add(event(change));
      }
    }
    nextRevision = registry.revision() + 1;
    if (events.size() > MAX_EVENTS_IN_FIRST_LINE) {
      writeLine(
          newResult()
              .put("fragment", true)
              .put("events", new JsonArray(events.getList().subList(0, MAX_EVENTS_IN_FIRST_LINE))));
      events = new JsonArray(events.getList().subList(MAX_EVENTS_IN_FIRST_LINE, events.size()));
    }
    if (!events.isEmpty()) {
      writeLine(newResult().put("events", events));
    }
  }

  private static JsonObject event(RevisionedStore.Change<byte[]> change) {
    if (change.versioned() != null) {
      return new JsonObject().put("kv", EtcdResponder.keyValue(change.key(), change.versioned()));
    }
    return new JsonObject()
        .put("type", "DELETE")
        .put(
            "kv",
            new JsonObject()
                .put("key", JsonResponses.base64(change.key()))
                .put("mod_revision", Long.toString(change.revision())));
  }
}
