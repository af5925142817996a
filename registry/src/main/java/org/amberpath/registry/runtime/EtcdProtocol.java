package org.amberpath.registry.runtime;

import io.vertx.core.MultiMap;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryPage;
import org.amberpath.registry.WatchEvent;
import org.amberpath.registry.WatchSession.Header;

/**
 * Codec of the JSON gateway of etcd's v3 API (rpc.proto and its HTTP annotations). The response to
 * a watch is a stream of lines. Status codes follow the published mapping of gRPC codes to HTTP.
 */
final class EtcdProtocol implements RegistryProtocol {
  private static final int GRPC_PERMISSION_DENIED = 7;
  private static final int GRPC_RESOURCE_EXHAUSTED = 8;
  private static final int GRPC_OUT_OF_RANGE = 11;
  private static final int GRPC_UNAUTHENTICATED = 16;

  private final String prefix;

  /** Creates the codec for the keys under a prefix, which ends in a slash. */
  EtcdProtocol(String prefix) {
    this.prefix = prefix;
  }

  /** Returns the least key above all keys with the prefix. */
  private String rangeEnd() {
    int last = prefix.length() - 1;
    return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
  }

  @Override
  public Request listRequest(long revision, String afterKey, long sinceRevision, int pageSize) {
    return EtcdJson.post(
        "/v3/kv/range",
        json -> {
          // The least key after another one is that key with a zero byte appended.
          EtcdJson.writeBytes(json, "key", afterKey.isEmpty() ? prefix : afterKey + '\0');
          EtcdJson.writeBytes(json, "range_end", rangeEnd());
          EtcdJson.writeLong(json, "limit", pageSize);
          EtcdJson.writeLong(json, "revision", revision);
          EtcdJson.writeLong(json, "min_mod_revision", sinceRevision);
        });
  }

  @Override
  public RegistryPage decodePage(int status, MultiMap headers, byte[] body) {
    JsonReader response = JsonBytes.readObject(body);
    List<RegistryEntry> entries = new ArrayList<>();
    for (JsonReader keyValue : response.objects("kvs")) {
      entries.add(entry(keyValue));
    }
    return new RegistryPage(
        header(response),
        entries,
        response.booleanOrFalse("more"),
        EtcdJson.readLong(response, "count"));
  }

  @Override
  public Request watchRequest(long fromRevision) {
    return EtcdJson.post(
        "/v3/watch",
        json -> {
          json.writeObjectFieldStart("create_request");
          EtcdJson.writeBytes(json, "key", prefix);
          EtcdJson.writeBytes(json, "range_end", rangeEnd());
          EtcdJson.writeLong(json, "start_revision", fromRevision);
          json.writeBooleanField("progress_notify", true);
          json.writeBooleanField("fragment", true);
          json.writeEndObject();
        });
  }

  @Override
  public RegistryHttpClient.ResponseKind watchResponseKind() {
    return RegistryHttpClient.ResponseKind.LINES;
  }

  @Override
  public Frame decodeFrame(byte[] line) {
    JsonReader frame = JsonBytes.readObject(line);
    if (frame.has("error")) {
      JsonReader error = frame.object("error");
      return new Frame.Ended(failureOfGrpcCode(error.intOr("grpc_code", error.intOr("code", 0))));
    }
    JsonReader result = frame.object("result");
    if (EtcdJson.readLong(result, "compact_revision") > 0) {
      return new Frame.Compacted();
    }
    if (result.booleanOrFalse("canceled")) {
      return new Frame.Ended(RegistryFailure.BROKEN);
    }
    if (result.booleanOrFalse("created")) {
      return new Frame.Opened(header(result));
    }
    List<WatchEvent> events = new ArrayList<>();
    for (JsonReader event : result.objects("events")) {
      events.add(event(event));
    }
    return new Frame.Events(header(result), events, result.booleanOrFalse("fragment"));
  }

  private WatchEvent event(JsonReader event) {
    JsonReader keyValue = event.object("kv");
    boolean isDeletion = event.has("type") && event.string("type").equals("DELETE");
    return new WatchEvent(
        EtcdJson.readLong(keyValue, "mod_revision"),
        key(keyValue),
        isDeletion ? null : entry(keyValue));
  }

  @Override
  public Request heartbeatRequest() {
    return EtcdJson.post(
        "/v3/kv/range",
        json -> {
          EtcdJson.writeBytes(json, "key", prefix + RecordCodec.TIP_KEY);
          json.writeBooleanField("keys_only", true);
        });
  }

  @Override
  public Heartbeat decodeHeartbeat(int status, MultiMap headers, byte[] body) {
    JsonReader response = JsonBytes.readObject(body);
    List<JsonReader> keyValues = response.objects("kvs");
    return new Heartbeat(
        header(response),
        keyValues.isEmpty() ? 0 : EtcdJson.readLong(keyValues.get(0), "mod_revision"));
  }

  @Override
  public boolean isCompacted(int status, byte[] body) {
    return status == 400 && grpcCode(body) == GRPC_OUT_OF_RANGE;
  }

  @Override
  public Optional<RegistryFailure> failure(int status, byte[] body) {
    return switch (status) {
      case 200 -> Optional.empty();
      case 401, 403 -> Optional.of(RegistryFailure.UNAUTHORISED);
      case 429 -> Optional.of(RegistryFailure.THROTTLED);
      case 400 -> Optional.of(failureOfGrpcCode(grpcCode(body)));
      default ->
          Optional.of(status >= 500 ? RegistryFailure.UNAVAILABLE : RegistryFailure.UNREADABLE);
    };
  }

  private static int grpcCode(byte[] body) {
    try {
      return JsonBytes.readObject(body).intOr("code", 0);
    } catch (InvalidDocumentException e) {
      return 0;
    }
  }

  private static RegistryFailure failureOfGrpcCode(int code) {
    return switch (code) {
      case GRPC_UNAUTHENTICATED, GRPC_PERMISSION_DENIED -> RegistryFailure.UNAUTHORISED;
      case GRPC_RESOURCE_EXHAUSTED -> RegistryFailure.THROTTLED;
      default -> RegistryFailure.UNAVAILABLE;
    };
  }

  @Override
  public Request transactionRequest(List<Write> writes, long leaseId, byte[] tip) {
    return new EtcdTransaction(prefix, writes, leaseId, "", Optional.of(tip)).request();
  }

  /**
   * Encodes the transaction that acquires a task. The term's key is permanent, the owner's key is
   * deleted with the lease. Nothing is written if either key had changed.
   */
  Request campaignRequest(Write term, Write owner, long leaseId) {
    return new EtcdTransaction(
            prefix,
            List.of(term, owner),
            leaseId,
            prefix + RecordCodec.OWNERS_PREFIX,
            Optional.empty())
        .request();
  }

  @Override
  public boolean isCommitted(int status, byte[] body) {
    return status == 200 && JsonBytes.readObject(body).booleanOrFalse("succeeded");
  }

  /** Encodes a login. */
  static Request loginRequest(String user, String password) {
    return EtcdJson.post(
        "/v3/auth/authenticate",
        json -> {
          json.writeStringField("name", user);
          json.writeStringField("password", password);
        });
  }

  /** Decodes the token of a login. */
  static String decodeLogin(byte[] body) {
    return JsonBytes.readObject(body).string("token");
  }

  private static Header header(JsonReader response) {
    JsonReader header = response.object("header");
    return new Header(
        header.has("cluster_id") ? header.string("cluster_id") : "",
        EtcdJson.readLong(header, "revision"));
  }

  private RegistryEntry entry(JsonReader keyValue) {
    String key = key(keyValue);
    return new RegistryEntry(
        key,
        RecordCodec.decode(key.substring(prefix.length()), JsonBytes.readBase64(keyValue, "value")),
        EtcdJson.readLong(keyValue, "create_revision"),
        EtcdJson.readLong(keyValue, "mod_revision"));
  }

  private String key(JsonReader keyValue) {
    String key = new String(JsonBytes.readBase64(keyValue, "key"), StandardCharsets.UTF_8);
    if (!key.startsWith(prefix)) {
      throw keyValue.invalid("key", "not under the prefix " + prefix);
    }
    return key;
  }
}
