package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.WatchEvent;
import org.amberpath.registry.WatchSession.Header;

/**
 * The JSON form of etcd's API, version 3 (rpc.proto and its HTTP annotations): bytes in base64,
 * 64-bit numbers as strings, absent where they are zero; a watch is a stream of lines. Status codes
 * are those that the published mapping of gRPC codes to HTTP gives.
 */
final class EtcdProtocol implements RegistryProtocol {
  private static final JsonFactory JSON = new JsonFactory();
  private static final int OUT_OF_RANGE = 11,
      UNAUTHENTICATED = 16,
      PERMISSION_DENIED = 7,
      EXHAUSTED = 8;
  private static final int MAX_TASKS = 256;

  private final String prefix;

  EtcdProtocol(String prefix) {
    this.prefix = prefix;
  }

  /** Writes JSON to memory. */
  interface Body {
    void to(JsonGenerator json) throws IOException;
  }

  static byte[] json(Body body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator to = JSON.createGenerator(out)) {
      body.to(to);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  private static Request post(String uri, Body body) {
    return new Request(
        HttpMethod.POST,
        uri,
        json(
            to -> {
              to.writeStartObject();
              body.to(to);
              to.writeEndObject();
            }));
  }

  private static void bytes(JsonGenerator to, String name, String value) throws IOException {
    to.writeStringField(
        name, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
  }

  /** The first key past all that begin with the prefix. */
  private String end() {
    return prefix.substring(0, prefix.length() - 1)
        + (char) (prefix.charAt(prefix.length() - 1) + 1);
  }

  @Override
  public Request listRequest(long revision, String after, long since, int limit) {
    return post(
        "/v3/kv/range",
        to -> {
          // The least key after another one is that one with a zero byte.
          bytes(to, "key", after.isEmpty() ? prefix : after + '\0');
          bytes(to, "range_end", end());
          to.writeStringField("limit", Integer.toString(limit));
          to.writeStringField("revision", Long.toString(revision));
          to.writeStringField("min_mod_revision", Long.toString(since));
        });
  }

  @Override
  public Page decodePage(int status, MultiMap headers, byte[] body) {
    JsonReader answer = read(body);
    List<RegistryEntry> items = new ArrayList<>();
    for (JsonReader kv : answer.objects("kvs")) {
      items.add(held(kv));
    }
    return new Page(
        header(answer), items, answer.booleanOrFalse("more"), readLong(answer, "count"));
  }

  @Override
  public Request watchRequest(long from) {
    return post(
        "/v3/watch",
        to -> {
          to.writeObjectFieldStart("create_request");
          bytes(to, "key", prefix);
          bytes(to, "range_end", end());
          to.writeStringField("start_revision", Long.toString(from));
          to.writeBooleanField("progress_notify", true);
          to.writeBooleanField("fragment", true);
          to.writeEndObject();
        });
  }

  @Override
  public Frame decodeFrame(byte[] line) {
    JsonReader all = read(line);
    if (all.has("error")) {
      JsonReader error = all.object("error");
      return new Frame.Ended(ofCode(error.intOr("grpc_code", error.intOr("code", 0))));
    }
    JsonReader result = all.object("result");
    if (readLong(result, "compact_revision") > 0) {
      return new Frame.Compacted();
    }
    if (result.booleanOrFalse("canceled")) {
      return new Frame.Ended(RegistryFailure.BROKEN);
    }
    if (result.booleanOrFalse("created")) {
      return new Frame.Opened(header(result));
    }
    List<WatchEvent> changes = new ArrayList<>();
    for (JsonReader event : result.objects("events")) {
      JsonReader kv = event.object("kv");
      boolean deleted = event.has("type") && event.string("type").equals("DELETE");
      changes.add(new WatchEvent(readLong(kv, "mod_revision"), key(kv), deleted ? null : held(kv)));
    }
    return new Frame.Events(header(result), changes, result.booleanOrFalse("fragment"));
  }

  @Override
  public Request heartbeatRequest() {
    return post(
        "/v3/kv/range",
        to -> {
          bytes(to, "key", prefix + RecordCodec.TIP_KEY);
          to.writeBooleanField("keys_only", true);
        });
  }

  @Override
  public Heartbeat decodeHeartbeat(int status, MultiMap headers, byte[] body) {
    JsonReader answer = read(body);
    List<JsonReader> kvs = answer.objects("kvs");
    return new Heartbeat(header(answer), kvs.isEmpty() ? 0 : readLong(kvs.get(0), "mod_revision"));
  }

  @Override
  public boolean isCompacted(int status, byte[] body) {
    return status == 400 && code(body) == OUT_OF_RANGE;
  }

  @Override
  public RegistryFailure failure(int status, byte[] body) {
    return switch (status) {
      case 200 -> null;
      case 401, 403 -> RegistryFailure.UNAUTHORISED;
      case 429 -> RegistryFailure.THROTTLED;
      case 400 -> ofCode(code(body));
      default -> status >= 500 ? RegistryFailure.UNAVAILABLE : RegistryFailure.UNREADABLE;
    };
  }

  private static int code(byte[] body) {
    try {
      return read(body).intOr("code", 0);
    } catch (InvalidDocumentException e) {
      return 0;
    }
  }

  private static RegistryFailure ofCode(int code) {
    return switch (code) {
      case UNAUTHENTICATED, PERMISSION_DENIED -> RegistryFailure.UNAUTHORISED;
      case EXHAUSTED -> RegistryFailure.THROTTLED;
      default -> RegistryFailure.UNAVAILABLE;
    };
  }

  @Override
  public Request transactionRequest(List<Write> writes, long lease, byte[] tip) {
    return transaction(writes, lease, tip, "");
  }

  /**
   * Takes a task: its term stays, its owner goes with the lease; nothing if either key has moved.
   */
  Request campaignRequest(Write term, Write owner, long lease) {
    return transaction(List.of(term, owner), lease, null, prefix + RecordCodec.OWNERS_PREFIX);
  }

  /** The lease is for keys that begin so; the tip may be null. */
  private Request transaction(List<Write> writes, long lease, byte[] tip, String leased) {
    return post(
        "/v3/kv/txn",
        to -> {
          to.writeArrayFieldStart("compare");
          for (Write write : writes) {
            to.writeStartObject();
            bytes(to, "key", write.key());
            to.writeStringField("target", "MOD");
            to.writeStringField("result", "EQUAL");
            to.writeStringField("mod_revision", Long.toString(write.expectedRevision()));
            to.writeEndObject();
          }
          to.writeEndArray();
          to.writeArrayFieldStart("success");
          for (Write write : writes) {
            to.writeStartObject();
            to.writeObjectFieldStart(
                write.value() == null ? "request_delete_range" : "request_put");
            bytes(to, "key", write.key());
            if (write.value() != null) {
              to.writeBinaryField("value", RecordCodec.encode(write.value()));
              to.writeStringField(
                  "lease", write.key().startsWith(leased) ? Long.toString(lease) : "0");
            }
            to.writeEndObject();
            to.writeEndObject();
          }
          if (tip != null) {
            to.writeStartObject();
            to.writeObjectFieldStart("request_put");
            bytes(to, "key", prefix + RecordCodec.TIP_KEY);
            to.writeBinaryField("value", tip);
            to.writeEndObject();
            to.writeEndObject();
          }
          to.writeEndArray();
        });
  }

  @Override
  public boolean isCommitted(int status, byte[] body) {
    return status == 200 && read(body).booleanOrFalse("succeeded");
  }

  /** A lease of so many seconds. */
  static Request leaseGrantRequest(long seconds) {
    return post("/v3/lease/grant", to -> to.writeStringField("TTL", Long.toString(seconds)));
  }

  static long decodeLeaseGrant(byte[] body) {
    return readLong(read(body), "ID");
  }

  /** A lease's sign of life. */
  static Request leaseRenewalRequest(long lease) {
    return post("/v3/lease/keepalive", to -> to.writeStringField("ID", Long.toString(lease)));
  }

  /** Whether the lease was there to be kept: one that is over has no time left. */
  static boolean decodeLeaseRenewal(byte[] body) {
    JsonReader answer = read(body);
    return answer.has("result") && readLong(answer.object("result"), "TTL") > 0;
  }

  static Request leaseRevokeRequest(long lease) {
    return post("/v3/lease/revoke", to -> to.writeStringField("ID", Long.toString(lease)));
  }

  /** All tasks' terms and owners. */
  Request tasksRequest() {
    return post(
        "/v3/kv/range",
        to -> {
          bytes(to, "key", prefix + RecordCodec.OWNERS_PREFIX);
          bytes(
              to,
              "range_end",
              prefix
                  + RecordCodec.TASKS_PREFIX.substring(0, RecordCodec.TASKS_PREFIX.length() - 1)
                  + (char) ('/' + 1));
          to.writeStringField("limit", Integer.toString(MAX_TASKS));
        });
  }

  static Request loginRequest(String user, String password) {
    return post(
        "/v3/auth/authenticate",
        to -> {
          to.writeStringField("name", user);
          to.writeStringField("password", password);
        });
  }

  static String decodeLogin(byte[] body) {
    return read(body).string("token");
  }

  private static JsonReader read(byte[] body) {
    try (JsonParser parser = JSON.createParser(body)) {
      return JsonReader.read("registry", parser);
    } catch (IOException e) {
      throw new InvalidDocumentException("registry: not JSON");
    }
  }

  private static Header header(JsonReader answer) {
    JsonReader header = answer.object("header");
    return new Header(
        header.has("cluster_id") ? header.string("cluster_id") : "", readLong(header, "revision"));
  }

  private RegistryEntry held(JsonReader kv) {
    String key = key(kv);
    return new RegistryEntry(
        key,
        RecordCodec.read(key.substring(prefix.length()), bytes(kv, "value")),
        readLong(kv, "create_revision"),
        readLong(kv, "mod_revision"));
  }

  private String key(JsonReader kv) {
    String key = new String(bytes(kv, "key"), StandardCharsets.UTF_8);
    if (!key.startsWith(prefix)) {
      throw kv.invalid("key", "not under " + prefix);
    }
    return key;
  }

  static byte[] bytes(JsonReader from, String name) {
    try {
      return from.has(name) ? Base64.getDecoder().decode(from.string(name)) : new byte[0];
    } catch (IllegalArgumentException e) {
      throw from.invalid(name, "not base64");
    }
  }

  private static long readLong(JsonReader from, String name) {
    if (!from.has(name)) {
      return 0;
    }
    try {
      long value = Long.parseLong(from.string(name));
      if (value >= 0) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Said below.
    }
    throw from.invalid(name, "no 64-bit number from 0 on");
  }
}
