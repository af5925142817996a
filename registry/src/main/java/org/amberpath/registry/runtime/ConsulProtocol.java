package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonGenerator;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryPage;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.WatchSession.Header;

/**
 * Codec of Consul's key-value HTTP API. A watch is a blocking read: the server responds once the
 * index passes the given one, with all keys under the prefix. Reads are consistent, so an index
 * that goes back went back in the registry itself and not only on a stale server.
 */
final class ConsulProtocol implements RegistryProtocol {
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final String INDEX_HEADER = "X-Consul-Index";
  private static final String ALL_KEYS_QUERY = "?recurse=true&consistent=true";

  private final String prefix;
  private final long waitMillis;

  /**
   * Creates the codec for the keys under a prefix, which ends in a slash.
   *
   * @param waitMillis how long the server may hold a blocking read; the server adds up to a
   *     sixteenth of jitter
   */
  ConsulProtocol(String prefix, long waitMillis) {
    this.prefix = prefix;
    this.waitMillis = waitMillis;
  }

  private static Request get(String uri) {
    return new Request(HttpMethod.GET, uri, null);
  }

  @Override
  public Request listRequest(long revision, String afterKey, long sinceRevision, int pageSize) {
    return get("/v1/kv/" + prefix + ALL_KEYS_QUERY);
  }

  @Override
  public RegistryPage decodePage(int status, MultiMap headers, byte[] body) {
    long index = index(headers);
    List<RegistryEntry> entries = new ArrayList<>();
    if (status == 200) {
      for (JsonReader keyValue : JsonBytes.readArray(body)) {
        entries.add(entry(keyValue));
      }
    }
    return new RegistryPage(new Header("", index), entries, false, -1);
  }

  private RegistryEntry entry(JsonReader keyValue) {
    String key = keyValue.string("Key");
    if (!key.startsWith(prefix)) {
      throw keyValue.invalid("Key", "not under the prefix " + prefix);
    }
    return new RegistryEntry(
        key,
        RecordCodec.decode(key.substring(prefix.length()), JsonBytes.readBase64(keyValue, "Value")),
        keyValue.longValue("CreateIndex"),
        keyValue.longValue("ModifyIndex"));
  }

  private static long index(MultiMap headers) {
    try {
      long index = Long.parseLong(headers.get(INDEX_HEADER));
      if (index > 0) {
        return index;
      }
    } catch (NumberFormatException e) {
      // Reported below, as is a missing header.
    }
    throw new InvalidDocumentException(
        "registry: header " + INDEX_HEADER + " is missing or not an integer above 0");
  }

  @Override
  public Request watchRequest(long fromRevision) {
    return get(
        "/v1/kv/"
            + prefix
            + ALL_KEYS_QUERY
            + "&index="
            + (fromRevision - 1)
            + "&wait="
            + waitMillis
            + "ms");
  }

  @Override
  public RegistryHttpClient.ResponseKind watchResponseKind() {
    return RegistryHttpClient.ResponseKind.COMPLETE;
  }

  @Override
  public Frame decodeFrame(byte[] line) {
    throw new InvalidDocumentException("registry: a Consul response has no frames to decode");
  }

  @Override
  public Request heartbeatRequest() {
    return get("/v1/kv/" + prefix + RecordCodec.TIP_KEY + "?consistent=true");
  }

  @Override
  public Heartbeat decodeHeartbeat(int status, MultiMap headers, byte[] body) {
    List<JsonReader> keyValues = status == 200 ? JsonBytes.readArray(body) : List.of();
    long tipRevision = keyValues.isEmpty() ? 0 : keyValues.get(0).longValue("ModifyIndex");
    return new Heartbeat(new Header("", 0), tipRevision);
  }

  @Override
  public boolean isCompacted(int status, byte[] body) {
    return false;
  }

  @Override
  public Optional<RegistryFailure> failure(int status, byte[] body) {
    return switch (status) {
      // No key exists under the prefix, the tip does not exist yet, or a key had changed before a
      // transaction.
      case 200, NOT_FOUND, CONFLICT -> Optional.empty();
      case 401, 403 -> Optional.of(RegistryFailure.UNAUTHORISED);
      case 429 -> Optional.of(RegistryFailure.THROTTLED);
      default ->
          Optional.of(status >= 500 ? RegistryFailure.UNAVAILABLE : RegistryFailure.UNREADABLE);
    };
  }

  @Override
  public Request transactionRequest(List<Write> writes, long leaseId, byte[] tip) {
    byte[] body =
        JsonBytes.write(
            json -> {
              json.writeStartArray();
              for (Write write : writes) {
                writeOperation(json, write);
              }
              writeVerb(json, "set", prefix + RecordCodec.TIP_KEY, Optional.of(tip), 0);
              json.writeEndArray();
            });
    return new Request(HttpMethod.PUT, "/v1/txn", body);
  }

  private static void writeOperation(JsonGenerator json, Write write) throws IOException {
    Optional<RegistryRecord> value = write.value();
    writeVerb(
        json,
        value.isPresent() ? "cas" : "delete-cas",
        write.key(),
        value.map(RecordCodec::encode),
        write.expectedRevision());
  }

  private static void writeVerb(
      JsonGenerator json, String verb, String key, Optional<byte[]> value, long index)
      throws IOException {
    json.writeStartObject();
    json.writeObjectFieldStart("KV");
    json.writeStringField("Verb", verb);
    json.writeStringField("Key", key);
    if (value.isPresent()) {
      json.writeStringField(
          "Value",
          new String(Base64.getEncoder().encode(value.get()), StandardCharsets.ISO_8859_1));
    }
    json.writeNumberField("Index", index);
    json.writeEndObject();
    json.writeEndObject();
  }

  @Override
  public boolean isCommitted(int status, byte[] body) {
    return status == 200;
  }
}
