package org.amberpath.registry.runtime;

import org.amberpath.gateway.settings.JsonReader;

/**
 * Leases of etcd: what hangs on one goes with it. Lease renewal keeps one for another time to live.
 */
final class EtcdLeases {
  private static final int MAX_TASKS = 256;

  private EtcdLeases() {}

  /** Asks for a lease. */
  static RegistryProtocol.Request grantRequest(long ttlSeconds) {
    return EtcdJson.post("/v3/lease/grant", json -> EtcdJson.writeLong(json, "TTL", ttlSeconds));
  }

  /** The id of the lease that was granted. */
  static long decodeGrant(byte[] body) {
    return EtcdJson.readLong(JsonBytes.readObject(body), "ID");
  }

  /** Asks for lease renewal. */
  static RegistryProtocol.Request renewalRequest(long leaseId) {
    return EtcdJson.post("/v3/lease/keepalive", json -> EtcdJson.writeLong(json, "ID", leaseId));
  }

  /** Whether the lease was renewed: one that has expired has no time to live. */
  static boolean decodeRenewal(byte[] body) {
    JsonReader answer = JsonBytes.readObject(body);
    return answer.has("result") && EtcdJson.readLong(answer.object("result"), "TTL") > 0;
  }

  /** Gives a lease back. */
  static RegistryProtocol.Request revokeRequest(long leaseId) {
    return EtcdJson.post("/v3/lease/revoke", json -> EtcdJson.writeLong(json, "ID", leaseId));
  }

  /** Lists all tasks' terms and owners, which are one range of keys. */
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
