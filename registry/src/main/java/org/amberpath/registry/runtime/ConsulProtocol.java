package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.WatchSession.Header;

/**
 * Consul's key-value store by HTTP, as its API pages have it: a read is held back until the index
 * passes the one told, and brings all keys under the prefix. Reads are made consistent, so that an
 * index that goes back is the registry's.
 */
final class ConsulProtocol implements RegistryProtocol {
  private static final JsonFactory JSON = new JsonFactory();
  private static final int CONFLICT = 409;
  private static final String INDEX = "X-Consul-Index",
      WHOLE_PREFIX = "?recurse=true&consistent=true";

  private final String prefix;
  private final long waitMs;

  /**
   * A read is held back for waitMs, and up to a sixteenth more, as the server's own jitter has it.
   */
  ConsulProtocol(String prefix, long waitMs) {
    this.prefix = prefix;
    this.waitMs = waitMs;
  }

  private static Request get(String uri) {
    return new Request(HttpMethod.GET, uri, null);
  }

  @Override
  public Request listRequest(long revision, String after, long since, int limit) {
    return get("/v1/kv/" + prefix + WHOLE_PREFIX);
  }

  @Override
  public Page decodePage(int status, MultiMap headers, byte[] body) {
    long index = index(headers);
    List<RegistryEntry> items = new ArrayList<>();
    if (status == 200) {
      for (JsonReader one : each(body)) {
        String key = one.string("Key");
        if (!key.startsWith(prefix)) {
          throw one.invalid("Key", "not under " + prefix);
        }
        items.add(
            new RegistryEntry(
                key,
                RecordCodec.read(key.substring(prefix.length()), EtcdProtocol.bytes(one, "Value")),
                one.longValue("CreateIndex"),
                one.longValue("ModifyIndex")));
      }
    }
    return new Page(new Header("", index), items, false, -1);
  }

  private static long index(MultiMap headers) {
    try {
      long index = Long.parseLong(headers.get(INDEX));
      if (index > 0) {
        return index;
      }
    } catch (NumberFormatException e) {
      // Said below: also where there is none.
    }
    throw new InvalidDocumentException("registry: no index above 0 in " + INDEX);
  }

  private static List<JsonReader> each(byte[] body) {
    try (JsonParser parser = JSON.createParser(body)) {
      return JsonReader.readEach("registry", parser);
    } catch (IOException e) {
      throw new InvalidDocumentException("registry: not JSON");
    }
  }

  @Override
  public Request watchRequest(long from) {
    return get(
        "/v1/kv/" + prefix + WHOLE_PREFIX + "&index=" + (from - 1) + "&wait=" + waitMs + "ms");
  }

  @Override
  public Frame decodeFrame(byte[] line) {
    throw new InvalidDocumentException("registry: no stream is asked for");
  }

  @Override
  public Request heartbeatRequest() {
    return get("/v1/kv/" + prefix + RecordCodec.TIP_KEY + "?consistent=true");
  }

  @Override
  public Heartbeat decodeHeartbeat(int status, MultiMap headers, byte[] body) {
    List<JsonReader> found = status == 200 ? each(body) : List.of();
    return new Heartbeat(
        new Header("", 0), found.isEmpty() ? 0 : found.get(0).longValue("ModifyIndex"));
  }

  @Override
  public boolean isCompacted(int status, byte[] body) {
    return false;
  }

  @Override
  public RegistryFailure failure(int status, byte[] body) {
    return switch (status) {
      // Nothing stands under the prefix or there is no tip yet; a key moved before a transaction.
      case 200, 404, CONFLICT -> null;
      case 401, 403 -> RegistryFailure.UNAUTHORISED;
      case 429 -> RegistryFailure.THROTTLED;
      default -> status >= 500 ? RegistryFailure.UNAVAILABLE : RegistryFailure.UNREADABLE;
    };
  }

  @Override
  public Request transactionRequest(List<Write> writes, long lease, byte[] tip) {
    return new Request(
        HttpMethod.PUT,
        "/v1/txn",
        EtcdProtocol.json(
            to -> {
              to.writeStartArray();
              for (Write write : writes) {
                verb(
                    to,
                    write.value() == null ? "delete-cas" : "cas",
                    write.key(),
                    write.value() == null ? null : RecordCodec.encode(write.value()),
                    write.expectedRevision());
              }
              verb(to, "set", prefix + RecordCodec.TIP_KEY, tip, 0);
              to.writeEndArray();
            }));
  }

  private static void verb(JsonGenerator to, String verb, String key, byte[] value, long index)
      throws IOException {
    to.writeStartObject();
    to.writeObjectFieldStart("KV");
    to.writeStringField("Verb", verb);
    to.writeStringField("Key", key);
    if (value != null) {
      to.writeStringField(
          "Value", new String(Base64.getEncoder().encode(value), StandardCharsets.ISO_8859_1));
    }
    to.writeNumberField("Index", index);
    to.writeEndObject();
    to.writeEndObject();
  }

  @Override
  public boolean isCommitted(int status, byte[] body) {
    return status == 200;
  }
}
