package org.amberpath.registry.runtime;

import org.amberpath.gateway.settings.JsonReader;

/**
 * Requests and responses of etcd's lease API. The expiry of a lease deletes the keys attached to
 * it; renewal restarts its time to live.
 */
final class EtcdLeases {
  private static final int MAX_TASKS = 256;

  private EtcdLeases() {}

  /** Encodes the request for a new lease. */
  static RegistryProtocol.Request grantRequest(long ttlSeconds) {
    return EtcdJson.post("/v3/lease/grant", json -> EtcdJson.writeLong(json, "TTL", ttlSeconds));
  }

  /** Decodes the id of a granted lease. */
  static long decodeGrant(byte[] body) {
    return EtcdJson.readLong(JsonBytes.readObject(body), "ID");
  }

  /** Encodes a lease renewal. */
  static RegistryProtocol.Request renewalRequest(long leaseId) {
    return EtcdJson.post("/v3/lease/keepalive", json -> EtcdJson.writeLong(json, "ID", leaseId));
  }

  /** Whether the lease was renewed: etcd returns no time to live for an expired one. */
  static boolean decodeRenewal(byte[] body) {
    JsonReader response = JsonBytes.readObject(body);
    return response.has("result") && EtcdJson.readLong(response.object("result"), "TTL") > 0;
  }

  /** Encodes the revocation of a lease. */
  static RegistryProtocol.Request revokeRequest(long leaseId) {
    return EtcdJson.post("/v3/lease/revoke", json -> EtcdJson.writeLong(json, "ID", leaseId));
  }

  /** Encodes the list of all tasks' terms and owners, which form one range of keys. */
  static RegistryProtocol.Request tasksRequest(String prefix) {
    String endOfTasks =
        RecordCodec.TASKS_PREFIX.substring(0, RecordCodec.TASKS_PREFIX.length() - 1)
            + (char) ('/' + 1);
    return EtcdJson.post(
        "/v3/kv/range",
        json -> {
          EtcdJson.writeBytes(json, "key", prefix + RecordCodec.OWNERS_PREFIX);
          EtcdJson.writeBytes(json, "range_end", prefix + endOfTasks);
          EtcdJson.writeLong(json, "limit", MAX_TASKS);
        });
  }
}
