package org.amberpath.registry.runtime;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Validated settings of a registry connection. Times are nanoseconds, sizes bytes.
 *
 * @param protocol the registry's protocol
 * @param endpoints addresses of the registry's endpoints
 * @param prefix prefix of all keys; ends in a slash
 * @param trustFile PEM file of the certificate authority of the servers; null for unencrypted
 *     connections
 * @param certificateFile PEM file of the client certificate; null for none
 * @param keyFile PEM file of the client certificate's key; null for none
 * @param tokenFile file that holds the access token; null for none
 * @param user user to log in as; null for none. Only for {@link ProtocolKind#ETCD}
 * @param passwordFile file that holds the user's password; null for none
 * @param snapshotFile file that holds the view across a restart; null for none
 * @param snapshotIntervalNanos minimum time between two writes of the snapshot
 * @param maxSnapshotAgeNanos a snapshot older than this is ignored at the start
 * @param purgeRetentionNanos the shortest time for which the registry keeps the key of a purge
 * @param maxKeys maximum number of keys in the view
 * @param maxResponseBytes maximum size of a response, and of the snapshot file
 */
public record RegistrySettings(
    ProtocolKind protocol,
    List<SocketAddress> endpoints,
    String prefix,
    Path trustFile,
    Path certificateFile,
    Path keyFile,
    Path tokenFile,
    String user,
    Path passwordFile,
    Path snapshotFile,
    long snapshotIntervalNanos,
    long maxSnapshotAgeNanos,
    long purgeRetentionNanos,
    int maxKeys,
    int maxResponseBytes) {
  /** The supported protocols. */
  public enum ProtocolKind {
    /** The JSON gateway of etcd's v3 API: ranges, watches, transactions, leases. */
    ETCD,
    /** Consul's key-value HTTP API: blocking reads, transactions. */
    CONSUL
  }

  /** Returns the full key of the tip; see {@link RecordCodec#TIP_KEY}. */
  public String tipKey() {
    return prefix + RecordCodec.TIP_KEY;
  }
}
